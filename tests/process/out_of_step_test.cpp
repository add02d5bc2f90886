#include "broken_streams.h"
#include "eventually.h"
#include "gateway_fleet.h"
#include "soak/fault_proxy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t inStep = 0; ///< The gateway that sees the release,
constexpr std::size_t outOfStep = 1; ///< and the one that does not.
constexpr int streamCount = 16;

/// Two gateways, each with a connection of its own to the store, upstreams of one version, and two of a newer one that are not
/// registered yet.
struct release_fixture
{
    std::vector<std::unique_ptr<soak::fault_proxy>> stores; ///< By gateway.
    gateway_fleet fleet;

    release_fixture()
        : fleet({.gateways = 2,
                 .replicas = 4,
                 .replicaArguments = pauseBetweenEvents,
                 .versions = {"v1", "v1", "v2", "v2"},
                 .storeRoute =
                     [this](std::size_t gateway, const endpoint &target) {
                         while (stores.size() <= gateway) {
                             stores.push_back(std::make_unique<soak::fault_proxy>(target));
                         }
                         return stores[gateway]->address();
                     },
                 .unregistered = 2})
    {
        REQUIRE(eventually([&] {
            return fleet.rowsOf("service_versions") == 1;
        }));
    }

    /// Lets the newer version join. Returns streams of the gateway that is in step, some of them of each version.
    std::vector<broken_stream> release()
    {
        fleet.registerReplica(2);
        fleet.registerReplica(3);
        std::vector<broken_stream> streams;
        REQUIRE(eventually([&] {
            std::vector<broken_stream> more = breakStreams(fleet, inStep, streamCount, "s" + std::to_string(streams.size()) + "-");
            streams.insert(streams.end(), more.begin(), more.end());
            return countOf(streams, "v2") > 3;
        }));
        return streams;
    }

    static long countOf(const std::vector<broken_stream> &streams, const std::string &version)
    {
        return std::count_if(streams.begin(), streams.end(), [&](const broken_stream &stream) {
            return versionsIn(stream.text) == std::set<std::string>{version};
        });
    }
};

} // namespace

// Guards against taking an old list of upstreams for the proof that only one version can have begun a stream.
TEST_CASE("a gateway that neither the store nor the others reach joins no streams of a version that it does not know")
{
    release_fixture fixture;
    fixture.stores[outOfStep]->setMode(soak::proxy_mode::Silent);
    const std::vector<broken_stream> streams = fixture.release();
    fixture.fleet.gatewayProcess(inStep).signal(SIGSTOP);
    (void)takeUpAll(fixture.fleet, outOfStep, streams, "-alone");
    fixture.fleet.gatewayProcess(inStep).signal(SIGCONT);
    std::this_thread::sleep_for(1500ms); // Until it is asked again.
    CHECK(takeUpAll(fixture.fleet, outOfStep, streams, "-again") >= release_fixture::countOf(streams, "v1"));
}

TEST_CASE("streams go on at a gateway that only the store does not reach, and only at the version that began them")
{
    release_fixture fixture;
    fixture.stores[outOfStep]->setMode(soak::proxy_mode::Silent);
    const std::vector<broken_stream> streams = fixture.release();
    CHECK(takeUpAll(fixture.fleet, outOfStep, streams) >= release_fixture::countOf(streams, "v1"));
}

TEST_CASE("streams go on at a gateway that stood still during a release, and only at the version that began them")
{
    release_fixture fixture;
    fixture.fleet.gatewayProcess(outOfStep).signal(SIGSTOP);
    const std::vector<broken_stream> streams = fixture.release();
    std::vector<std::future<http_response>> answers;
    answers.reserve(streams.size());
    for (const broken_stream &stream : streams) {
        answers.push_back(std::async(std::launch::async, [&fixture, &stream] {
            return takeUp(fixture.fleet, outOfStep, stream.id + "-again", stream.id, stream.text);
        }));
    }
    std::this_thread::sleep_for(500ms); // The requests wait in the stopped process' sockets.
    fixture.fleet.gatewayProcess(outOfStep).signal(SIGCONT);
    int resumed = 0;
    for (std::size_t index = 0; index < streams.size(); ++index) {
        const http_response answer = answers[index].get();
        INFO("stream " << streams[index].id << " began with " << streams[index].text << " and went on with " << answer.body);
        CHECK((answer.status == 200 || answer.status == 503));
        resumed += answer.status == 200 ? 1 : 0;
        CHECK((answer.status != 200 || versionsIn(streams[index].text + answer.body).size() == 1));
    }
    CHECK(resumed > 0);
}
