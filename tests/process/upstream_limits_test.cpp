#include "eventually.h"
#include "gateway_fleet.h"
#include "request_load.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

using namespace banyan;
using namespace banyan::process_tests;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 2.5; // Requests per second.
constexpr std::chrono::milliseconds timeToHear = 1500ms; // For every gateway to hear of a limit, and for earlier requests to arrive.
constexpr std::int64_t window = 4000; // Milliseconds.

/// What an upstream with this limit may get in any window, by the users' rule.
std::size_t allowedInWindow(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * window / 1000 + 5);
}

std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

/// The arrivals from a moment on, in order.
std::vector<std::int64_t> arrivalsSince(const gateway_fleet &fleet, std::size_t replica, std::int64_t from)
{
    std::vector<std::int64_t> arrivals = fleet.arrivalsAt(replica);
    std::erase_if(arrivals, [&](std::int64_t arrival) {
        return arrival < from;
    });
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
}

/// The most arrivals in any window.
std::size_t mostInWindow(const std::vector<std::int64_t> &arrivals)
{
    std::size_t most = 0;
    for (std::size_t first = 0; first < arrivals.size(); ++first) {
        const auto end = std::lower_bound(arrivals.begin(), arrivals.end(), arrivals[first] + window);
        most = std::max(most, static_cast<std::size_t>(end - arrivals.begin()) - first);
    }
    return most;
}

} // namespace

TEST_CASE("gateways together send an upstream no more requests than the limit that it names, and no fewer")
{
    gateway_fleet fleet({.gateways = 3, .replicas = 3});
    for (const std::size_t replica : {0, 1}) {
        fleet.setReplicaLimit(replica, std::to_string(limit));
    }
    const request_load load(fleet, {.path = "/safe/1", .pause = 20ms});
    std::this_thread::sleep_for(timeToHear);
    const std::int64_t from = steadyMilliseconds();
    std::this_thread::sleep_for(6s);
    const double seconds = static_cast<double>(steadyMilliseconds() - from) / 1000;
    for (const std::size_t replica : {0, 1}) {
        const std::vector<std::int64_t> arrivals = arrivalsSince(fleet, replica, from);
        CHECK(mostInWindow(arrivals) <= allowedInWindow(limit));
        CHECK(static_cast<double>(arrivals.size()) >= 0.9 * limit * seconds);
    }
    // When the need is over, the next answers say so, and the upstream returns to its full rate.
    fleet.setReplicaLimit(0, "");
    std::this_thread::sleep_for(3s);
    const std::int64_t recovered = steadyMilliseconds();
    std::this_thread::sleep_for(1s);
    CHECK(arrivalsSince(fleet, 0, recovered).size() > 2 * limit);
    CHECK(load.failures() == 0);
}

TEST_CASE("gateways keep an upstream's limit with streams, retries and the items of jobs together")
{
    gateway_fleet fleet({.gateways = 3, .replicas = 2, .replicaArguments = {"--event-ms", "10"}});
    fleet.setReplicaLimit(0, std::to_string(limit));
    fleet.setReplicaMode(1, "reset"); // Each request there is tried again at the other one.
    REQUIRE(fleet.submitJob(0, "j1", 60).status == 202);
    const request_load streams(fleet, {.path = "/stream/1", .fields = {{"Model", "m"}}, .pause = 50ms});
    const request_load whole(fleet, {.path = "/safe/1", .pause = 50ms});
    std::this_thread::sleep_for(timeToHear);
    const std::int64_t from = steadyMilliseconds();
    std::this_thread::sleep_for(6s);
    CHECK(mostInWindow(arrivalsSince(fleet, 0, from)) <= allowedInWindow(limit));
}

TEST_CASE("gateways keep an upstream's limit while the node that places its requests is killed, stopped or paused")
{
    gateway_fleet fleet({.gateways = 4, .replicas = 2});
    fleet.setReplicaLimit(0, std::to_string(limit));
    const request_load load(fleet, {.path = "/safe/1", .pause = 20ms});
    std::this_thread::sleep_for(timeToHear);
    const std::int64_t from = steadyMilliseconds();
    // One of them places the requests; each of the others has to take over from the one before.
    fleet.gatewayProcess(0).signal(SIGKILL);
    std::this_thread::sleep_for(2s);
    fleet.gatewayProcess(1).signal(SIGTERM);
    std::this_thread::sleep_for(2s);
    fleet.gatewayProcess(2).signal(SIGSTOP);
    std::this_thread::sleep_for(2s);
    fleet.gatewayProcess(2).signal(SIGCONT);
    std::this_thread::sleep_for(2s);
    CHECK(mostInWindow(arrivalsSince(fleet, 0, from)) <= allowedInWindow(limit));
}

TEST_CASE("gateways refuse at once what a service whose upstreams are all limited cannot serve in time, and say when to return")
{
    gateway_fleet fleet({.gateways = 2, .replicas = 1});
    fleet.setReplicaLimit(0, "1");
    {
        const request_load load(fleet, {.path = "/safe/1", .pause = 20ms});
        std::this_thread::sleep_for(timeToHear);
    }
    int refused = 0;
    for (int number = 0; number < 10; ++number) {
        const auto begun = std::chrono::steady_clock::now();
        const http_response answer = fleet.send(0, "/safe/1", "late-" + std::to_string(number));
        if (answer.status == 503) {
            ++refused;
            CHECK(std::chrono::steady_clock::now() - begun < 300ms);
            CHECK(std::stod(answer.field("Retry-After")) > 0);
            CHECK(fleet.runsOf("late-" + std::to_string(number)) == 0);
        } else {
            CHECK(answer.status == 200);
        }
    }
    CHECK(refused >= 5);
}
