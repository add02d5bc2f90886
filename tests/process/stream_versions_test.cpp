#include "eventually.h"
#include "gateway_fleet.h"
#include "test_connection.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

constexpr int events = 20; // Of a stream.
const std::vector<std::string> pauseBetweenEvents = {"--events", std::to_string(events), "--event-ms", "50"};
const std::vector<std::string> twoVersions = {"v1", "v1", "v2", "v2"};

/// The versions that the events in a text name.
std::set<std::string> versionsIn(const std::string &text)
{
    std::set<std::string> versions;
    const std::string mark = "data: ";
    for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
        const std::size_t begin = at + mark.size();
        versions.insert(text.substr(begin, text.find(':', begin) - begin));
    }
    return versions;
}

std::string lastEventIn(const std::string &text)
{
    const std::size_t mark = text.rfind("id: ");
    return mark == std::string::npos ? "" : text.substr(mark + 4, text.find('\n', mark) - mark - 4);
}

bool isComplete(const std::string &text)
{
    return text.find("id: " + std::to_string(events) + "\n") != std::string::npos;
}

/// The first events of a stream, of which the client got no more, up to the end of an event.
std::string beginStream(test_connection &connection, const std::string &id)
{
    connection.send({.method = "POST",
                     .target = "/stream/1",
                     .fields = {{"Request-Id", id}, {"Deadline-Ms", "5000"}, {"Model", "m"}},
                     .body = "question of " + id});
    std::string text;
    if (connection.receiveHead().status != 200) {
        return text;
    }
    while (text.find("id: 3\n") == std::string::npos) {
        text += connection.receivePiece();
    }
    return text.substr(0, text.rfind("\n\n") + 2);
}

http_response
takeUp(const gateway_fleet &fleet, std::size_t gateway, const std::string &id, const std::string &began, const std::string &text)
{
    return fleet.send(gateway, "/stream/1", id, {{"Model", "m"}, {"Last-Event-Id", lastEventIn(text)}, {"Resumes", began}});
}

/// A client's stream that broke off with the loss of its gateway.
struct broken_stream
{
    std::string id;
    std::string text;
};

/// Begins streams at a gateway and ends their connections.
std::vector<broken_stream> breakStreams(const gateway_fleet &fleet, std::size_t gateway, int count, const std::string &name)
{
    std::vector<broken_stream> streams;
    for (int number = 0; number < count; ++number) {
        const std::string id = name + std::to_string(number);
        test_connection connection(fleet.callers(gateway));
        streams.push_back({.id = id, .text = beginStream(connection, id)});
    }
    return streams;
}

void killAllGateways(gateway_fleet &fleet, std::size_t count)
{
    for (std::size_t gateway = 0; gateway < count; ++gateway) {
        fleet.gatewayProcess(gateway).signal(SIGKILL);
        fleet.gatewayProcess(gateway).waitForExit();
    }
    fleet.startGateway();
    fleet.waitUntilReady(count);
}

/// Takes up streams; returns how many went on. Those that did not were refused at once, as not run.
int takeUpAll(const gateway_fleet &fleet, std::size_t gateway, const std::vector<broken_stream> &streams)
{
    int resumed = 0;
    for (const broken_stream &stream : streams) {
        const auto begun = std::chrono::steady_clock::now();
        const http_response answer = takeUp(fleet, gateway, stream.id + "-again", stream.id, stream.text);
        INFO("stream " << stream.id << " began with " << stream.text << " and went on with " << answer.body);
        if (answer.status == 200) {
            ++resumed;
            CHECK(versionsIn(stream.text + answer.body).size() == 1);
            CHECK(isComplete(answer.body));
        } else {
            CHECK(answer.status == 503);
            CHECK(answer.field("Retry-After") == "0.000");
            CHECK(std::chrono::steady_clock::now() - begun < 500ms);
            CHECK(fleet.runsOf(stream.id + "-again") == 0);
        }
    }
    return resumed;
}

} // namespace

TEST_CASE("a stream whose upstream crashes goes on in the same answer only at the version that began it")
{
    gateway_fleet fleet({.gateways = 2, .replicas = 4, .replicaArguments = pauseBetweenEvents, .versions = twoVersions});
    constexpr int count = 12;
    std::vector<std::future<http_response>> answers;
    answers.reserve(count);
    for (int number = 0; number < count; ++number) {
        answers.push_back(std::async(std::launch::async, [&fleet, number] {
            return fleet.send(static_cast<std::size_t>(number % 2), "/stream/1", "s" + std::to_string(number), {{"Model", "m"}});
        }));
    }
    std::this_thread::sleep_for(400ms);
    fleet.replicaProcess(0).signal(SIGKILL);
    fleet.replicaProcess(2).signal(SIGKILL);
    for (std::future<http_response> &answer : answers) {
        const http_response whole = answer.get();
        CHECK(whole.status == 200);
        CHECK(isComplete(whole.body));
        CHECK(versionsIn(whole.body).size() == 1);
    }
}

TEST_CASE("a stream that its client takes up at another gateway goes on only at the version that began it")
{
    gateway_fleet fleet({.gateways = 2, .replicas = 4, .replicaArguments = pauseBetweenEvents, .versions = twoVersions});
    const std::vector<broken_stream> streams = breakStreams(fleet, 0, 8, "s");
    CHECK(takeUpAll(fleet, 1, streams) == 8);
    // A chain of take-ups names the request that brought the first event.
    const std::string &text = streams.front().text;
    CHECK(versionsIn(text + takeUp(fleet, 1, "third", streams.front().id, text).body).size() == 1);
}

TEST_CASE("streams that are taken up after the loss of their gateway go on only at the version that began them")
{
    gateway_fleet fleet({.gateways = 3, .replicas = 4, .replicaArguments = pauseBetweenEvents, .versions = twoVersions});
    const std::vector<broken_stream> streams = breakStreams(fleet, 0, 8, "s");
    fleet.gatewayProcess(0).signal(SIGKILL);
    CHECK(takeUpAll(fleet, 1, streams) == 8);
}

TEST_CASE("streams that are taken up after the loss of all gateways go on only at the version that began them")
{
    gateway_fleet fleet({.gateways = 2, .replicas = 4, .replicaArguments = pauseBetweenEvents, .versions = twoVersions});
    const std::vector<broken_stream> streams = breakStreams(fleet, 0, 12, "s");
    killAllGateways(fleet, 2);
    CHECK(takeUpAll(fleet, 2, streams) >= 10);
}

TEST_CASE("streams of a version that left just before the loss of all gateways are refused at once and begin anew")
{
    gateway_fleet fleet({.gateways = 2, .replicas = 4, .replicaArguments = pauseBetweenEvents, .versions = {"v1", "v1", "v2", "v2"}});
    const std::vector<broken_stream> streams = breakStreams(fleet, 0, 12, "s");
    for (const std::size_t replica : {0, 1}) {
        fleet.unregisterReplica(replica);
    }
    killAllGateways(fleet, 2);
    int ofGoneVersion = 0;
    for (const broken_stream &stream : streams) {
        ofGoneVersion += versionsIn(stream.text) == std::set<std::string>{"v1"} ? 1 : 0;
    }
    CHECK(takeUpAll(fleet, 2, streams) <= 12 - ofGoneVersion);
    const http_response anew = fleet.send(2, "/stream/1", "anew", {{"Model", "m"}});
    CHECK(versionsIn(anew.body) == std::set<std::string>{"v2"});
    CHECK(isComplete(anew.body));
}

TEST_CASE("streams of the only version in service are taken up after the loss of all gateways, without a record")
{
    gateway_fleet fleet({.gateways = 2, .replicas = 2, .replicaArguments = pauseBetweenEvents, .versions = {"v1", "v1"}});
    REQUIRE(eventually([&] {
        return fleet.rowsOf("service_versions") == 1;
    }));
    const std::vector<broken_stream> streams = breakStreams(fleet, 0, 6, "s");
    killAllGateways(fleet, 2);
    CHECK(takeUpAll(fleet, 2, streams) == 6);
    CHECK(fleet.rowsOf("stream_origins") == 0);
}

TEST_CASE("streams are taken up while the store is silent, and only at the version that began them")
{
    gateway_fleet fleet({.gateways = 2, .replicas = 4, .replicaArguments = pauseBetweenEvents, .versions = twoVersions});
    fleet.setStoreFaults({{"mode", "busy"}});
    const std::vector<broken_stream> streams = breakStreams(fleet, 0, 8, "s");
    CHECK(takeUpAll(fleet, 1, streams) == 8);
    fleet.setStoreFaults({{"mode", "up"}});
}

TEST_CASE("an item of a job has events of one version only, also when upstreams crash and its job changes hands")
{
    gateway_fleet fleet({.gateways = 2, .replicas = 4, .replicaArguments = pauseBetweenEvents, .versions = twoVersions});
    REQUIRE(fleet.submitJob(0, "j1", 12).status == 202);
    REQUIRE(eventually([&] {
        return fleet.runsOf("j1-0") > 0;
    }));
    std::this_thread::sleep_for(500ms);
    fleet.replicaProcess(0).signal(SIGKILL);
    fleet.unregisterReplica(0);
    std::this_thread::sleep_for(2s); // Checkpoints are stored meanwhile.
    REQUIRE(fleet.submitJob(0, "j2", 12).status == 202);
    std::this_thread::sleep_for(500ms);
    fleet.gatewayProcess(0).signal(SIGTERM);
    fleet.replicaProcess(1).signal(SIGKILL);
    fleet.unregisterReplica(1); // The last one of its version.
    for (const std::string job : {"j1", "j2"}) {
        REQUIRE(eventually([&] {
            const json::object found = fleet.readJob(1, job);
            return found.contains("results") && found.at("results").as_array().size() == 12;
        }));
        const json::object whole = fleet.readJob(1, job);
        for (const json::value &result : whole.at("results").as_array()) {
            const std::string output(result.at("output").as_string());
            const bool hasFirst = output.find("v1:") != std::string::npos;
            const bool hasSecond = output.find("v2:") != std::string::npos;
            CHECK(result.at("state").as_string() == "succeeded");
            CHECK(hasFirst != hasSecond);
        }
    }
}
