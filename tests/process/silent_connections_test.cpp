#include "eventually.h"
#include "gateway_fleet.h"
#include "soak/fault_proxy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <numeric>
#include <thread>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds timeToNotice = 3s; // For a gateway, after its connections went silent.
constexpr int clients = 6; // At once, so that all replicas have work.

/// A fleet whose gateways reach the store through a proxy.
struct silent_fixture
{
    std::unique_ptr<soak::fault_proxy> storeProxy;
    gateway_fleet fleet;

    silent_fixture()
        : fleet({.gateways = 1, .replicas = 3, .replicaArguments = {"--event-ms", "50"}, .route = [this](const endpoint &target) {
                     if (storeProxy) {
                         return target; // Only the first address is the store's.
                     }
                     storeProxy = std::make_unique<soak::fault_proxy>(target);
                     return storeProxy->address();
                 }})
    {
    }

    /// Lets all open connections to the store go silent for good; new ones work.
    void silenceOpenConnections() const
    {
        storeProxy->setMode(soak::proxy_mode::Silent);
        storeProxy->setMode(soak::proxy_mode::Pass);
    }

    /// Sends requests until @p end. Returns how many were not served.
    int sendUntil(std::chrono::steady_clock::time_point end)
    {
        std::vector<std::future<int>> failures;
        failures.reserve(clients);
        for (int client = 0; client < clients; ++client) {
            failures.push_back(std::async(std::launch::async, [this, end] {
                int failed = 0;
                while (std::chrono::steady_clock::now() < end) {
                    failed += fleet.send(0, "/safe/1", "r" + std::to_string(++m_sent)).status == 200 ? 0 : 1;
                }
                return failed;
            }));
        }
        return std::accumulate(failures.begin(), failures.end(), 0, [](int sum, std::future<int> &failed) {
            return sum + failed.get();
        });
    }

    [[nodiscard]] std::size_t arrivalsSince(std::size_t replica, std::chrono::steady_clock::time_point from) const
    {
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(from.time_since_epoch()).count();
        const std::vector<std::int64_t> arrivals = fleet.arrivalsAt(replica);
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](std::int64_t at) {
            return at > since;
        }));
    }

private:
    std::atomic<int> m_sent = 0;
};

} // namespace

// Guards against taking silent connections for an outage of the store, in which removed registrations are kept.
TEST_CASE("a replica whose registration was removed gets nothing once silent connections to the store must have been noticed")
{
    silent_fixture fixture;
    CHECK(fixture.sendUntil(std::chrono::steady_clock::now() + 1s) == 0);
    const auto silentAt = std::chrono::steady_clock::now();
    fixture.silenceOpenConnections();
    std::this_thread::sleep_for(100ms);
    fixture.fleet.unregisterReplica(0);
    CHECK(fixture.sendUntil(silentAt + 6s) == 0);
    CHECK(fixture.arrivalsSince(0, silentAt + timeToNotice) == 0);
    CHECK(fixture.arrivalsSince(1, silentAt + timeToNotice) > 0);
}
