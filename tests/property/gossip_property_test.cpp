#include "gossip_fabric.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<gossip_fabric> startedFleet(std::size_t nodes, gossip_fabric_options options)
{
    auto fleet = std::make_unique<gossip_fabric>(std::move(options));
    for (std::size_t index = 0; index < nodes; ++index) {
        fleet->add("d" + std::to_string(index % 3));
        fleet->at(index).history.adopt({.version = 1, .json = "{}"});
    }
    fleet->list();
    fleet->runFor(10s);
    return fleet;
}

configuration_patch patchTo(configuration_version version)
{
    return {.version = version, .mergePatch = R"({"callers":{"c)" + std::to_string(version) + R"(":{}}})"};
}

std::size_t seen(gossip_fabric &fleet, std::size_t index)
{
    return fleet.at(index).node.nodes().size();
}

} // namespace

TEST_CASE("nodes that know only the list find each other")
{
    const auto fleet = startedFleet(30, {});
    for (std::size_t index = 0; index < fleet->size(); ++index) {
        CHECK(seen(*fleet, index) == 30);
    }
}

TEST_CASE("a node that fails is dropped by all within seconds")
{
    const auto fleet = startedFleet(30, {});
    fleet->kill(7);
    fleet->runFor(10s);
    for (std::size_t index = 0; index < fleet->size(); ++index) {
        CHECK((index == 7 || seen(*fleet, index) == 29));
    }
}

TEST_CASE("a patch is in force everywhere at once")
{
    const auto fleet = startedFleet(30, {});
    fleet->change(3, patchTo(2));
    fleet->runFor(2s);
    for (std::size_t index = 0; index < fleet->size(); ++index) {
        CHECK(fleet->at(index).history.version() == 2);
    }
}
