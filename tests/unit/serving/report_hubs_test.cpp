#include "banyan/core/serving/report_hubs.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr double smallShare = 0.12;
constexpr double largeShare = 0.5;

std::string nameOf(std::size_t number)
{
    return "node-" + std::to_string(number);
}

/// A fleet in which every fifth node has a large processor share.
std::map<node_id, double> fleetOf(std::size_t nodes)
{
    std::map<node_id, double> result;
    for (std::size_t number = 0; number < nodes; ++number) {
        result.emplace(node_id(nameOf(number)), number % 5 == 0 ? largeShare : smallShare);
    }
    return result;
}

report_hubs hubsOf(const std::string &self, std::size_t nodes)
{
    report_hubs hubs({.self = node_id(self)});
    hubs.setRegistered(fleetOf(nodes));
    return hubs;
}

/// Number of reports that a node sends per second if its work changes constantly.
double reportsPerSecond(const report_hubs &hubs, std::size_t nodes)
{
    std::size_t receivers = 0;
    for (std::size_t number = 0; number < nodes; ++number) {
        receivers += hubs.reportsTo(node_id(nameOf(number))) ? 1 : 0;
    }
    return static_cast<double>(receivers) / std::chrono::duration<double>(hubs.interval()).count();
}

} // namespace

TEST_CASE("report_hubs lets every node of a small fleet report to every other")
{
    const report_hubs hubs = hubsOf("node-1", 100);
    CHECK(hubs.isMesh());
    CHECK(hubs.isHub(node_id("node-7")));
    CHECK(hubs.reportsTo(node_id("node-7")));
}

TEST_CASE("report_hubs chooses the nodes with the largest processor share as hubs of a large fleet, the same at each node")
{
    const report_hubs hubs = hubsOf("node-1", 295);
    CHECK_FALSE(hubs.isMesh());
    CHECK(hubs.hubs().size() == 16);
    const std::map<node_id, double> fleet = fleetOf(295);
    for (const node_id &hub : hubs.hubs()) {
        CHECK(fleet.at(hub) == largeShare);
    }
    CHECK(hubsOf("node-2", 295).hubs() == hubs.hubs());
}

TEST_CASE("report_hubs lets a hub report to all nodes, and others to hubs only")
{
    const std::set<node_id> chosen = hubsOf("node-1", 295).hubs();
    const report_hubs hub = hubsOf(chosen.begin()->text(), 295);
    REQUIRE_FALSE(chosen.contains(node_id("node-1")));
    REQUIRE_FALSE(chosen.contains(node_id("node-2")));
    CHECK(hub.reportsTo(node_id("node-2")));
    const report_hubs other = hubsOf("node-1", 295);
    CHECK_FALSE(other.reportsTo(node_id("node-2")));
    CHECK(other.reportsTo(*chosen.begin()));
}

TEST_CASE("report_hubs bounds the report rate of a node for any size of the fleet")
{
    for (const std::size_t nodes : {30U, 100U, 101U, 300U, 1000U, 1500U}) {
        INFO("nodes=" << nodes);
        const report_hubs any = hubsOf("node-1", nodes);
        CHECK(reportsPerSecond(any, nodes) <= 1000);
        const std::string hub = any.isMesh() ? "node-1" : any.hubs().begin()->text();
        CHECK(reportsPerSecond(hubsOf(hub, nodes), nodes) <= 1001);
    }
}

TEST_CASE("report_hubs tolerates one lost report before a node counts as unresponsive")
{
    for (const std::size_t nodes : {30U, 300U, 1000U}) {
        INFO("nodes=" << nodes);
        const std::set<node_id> chosen = hubsOf("node-1", nodes).hubs();
        const report_hubs hub = hubsOf(chosen.empty() ? "node-1" : chosen.begin()->text(), nodes);
        CHECK(hub.reportTimeout() >= 2 * std::max<duration>(250ms, hub.interval()));
    }
}
