#include "eventually.h"
#include "gateway_fleet.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <utility>
#include <vector>

using namespace banyan;
using namespace banyan::process_tests;

namespace json = boost::json;

namespace {

constexpr int itemsOfJob = 30;
constexpr std::size_t oldReplica = 0;
constexpr std::size_t newReplica = 1;

/// Two gateways with a job each, whose items wait for the two slots of service "s" beside an idle replica of service "t".
struct moved_route_fixture
{
    gateway_fleet fleet{{.gateways = 2, .replicas = 2, .slots = 2, .unregistered = 1}};

    moved_route_fixture()
    {
        fleet.setServiceOf(newReplica, "t");
        fleet.registerReplica(newReplica);
        for (const std::string job : {"j0", "j1"}) {
            REQUIRE(fleet.submitJob(job == "j0" ? 0 : 1, job, itemsOfJob).status == 202);
        }
        REQUIRE(eventually([&] {
            return !fleet.arrivalsAt(oldReplica).empty();
        }));
    }

    /// Gives the route other services, none to remove it, and then drains the replica of service "s" and takes it away.
    void changeRoute(std::vector<std::pair<std::string, int>> services)
    {
        fleet.setJobServices(std::move(services));
        fleet.configure(2);
        fleet.registerReplica(oldReplica, "draining");
        fleet.unregisterReplica(oldReplica);
    }

    /// Whether both jobs list all their items with this state.
    [[nodiscard]] bool listAll(std::size_t gateway, const std::string &state) const
    {
        for (const std::string job : {"j0", "j1"}) {
            const json::object found = fleet.readJob(gateway, job);
            if (!found.contains("results") || found.at("results").as_array().size() != itemsOfJob) {
                return false;
            }
            for (const json::value &result : found.at("results").as_array()) {
                if (!state.empty() && result.at("state").as_string() != state) {
                    return false;
                }
            }
        }
        return true;
    }
};

} // namespace

// Guards against accepted items that never run after their route was moved and the replica of its old service was taken away.
TEST_CASE("accepted items run at the service that their route has moved to, also when the replica of the old one leaves")
{
    moved_route_fixture moved;
    moved.changeRoute({{"t", 1}});
    CHECK(eventually([&] {
        return moved.listAll(0, "succeeded");
    }));
}

// Guards against the same at a gateway that takes the job over after the move.
TEST_CASE("items of a moved route run on when the gateway that runs their job is killed")
{
    moved_route_fixture moved;
    moved.changeRoute({{"t", 1}});
    moved.fleet.gatewayProcess(0).signal(SIGKILL);
    CHECK(eventually([&] {
        return moved.listAll(1, "succeeded");
    }));
}

// Guards against items of a split route that wait for a service whose only replica has left, beside idle slots of the other one.
TEST_CASE("items of a split route run at its other service when the only replica of theirs leaves")
{
    moved_route_fixture moved;
    moved.changeRoute({{"s", 50}, {"t", 50}});
    CHECK(eventually([&] {
        return moved.listAll(0, "succeeded");
    }));
}

// Guards against items of a removed route that are neither run nor listed.
TEST_CASE("items that wait are listed when their route is removed and its replica leaves")
{
    moved_route_fixture moved;
    moved.changeRoute({});
    CHECK(eventually([&] {
        return moved.listAll(1, "");
    }));
}
