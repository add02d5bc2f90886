#include "broken_streams.h"
#include "eventually.h"
#include "gateway_fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

const std::vector<std::string> twoVersions = {"v1", "v1", "v2", "v2"};

void killAllGateways(gateway_fleet &fleet, std::size_t count)
{
    for (std::size_t gateway = 0; gateway < count; ++gateway) {
        fleet.gatewayProcess(gateway).signal(SIGKILL);
        fleet.gatewayProcess(gateway).waitForExit();
    }
    fleet.startGateway();
    fleet.waitUntilReady(count);
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
