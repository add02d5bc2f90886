#include "eventually.h"
#include "gateway_fleet.h"
#include "json_values.h"
#include "test_connection.h"

#include "banyan/io/serving/serving_codec.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace banyan;
using namespace banyan::process_tests;

namespace json = boost::json;

namespace {

/// Stores the rows of gateways that run nowhere, with larger shares of a processor than those that run.
void addRowsOfLostGateways(const gateway_fleet &fleet, int count)
{
    json::array rows;
    for (int port = 1; port <= count; ++port) {
        const endpoint address{.address = "127.0.0.1", .port = static_cast<std::uint16_t>(port)};
        const gateway_entry entry{
            .id = node_id("lost-" + std::to_string(port)), .peerAddress = address, .processorShare = 8, .answersCalls = true};
        rows.push_back(
            json::object{{"table", "gateways"}, {"part", ""}, {"key", address.toString()}, {"value", platform::toBase64(encode(entry))}});
    }
    const json::object change{{"precondition", json::array()}, {"puts", rows}, {"remove", json::array()}};
    REQUIRE(call(fleet.store(), {.method = "POST", .target = "/-/rows-tx", .body = json::serialize(change)}).status == 200);
}

std::size_t resultsOf(const json::object &job)
{
    return job.contains("results") ? job.at("results").as_array().size() : 0;
}

} // namespace

// Guards against jobs that nobody takes over because lost gateways, which stay registered, are all hubs of the fleet.
TEST_CASE("a job goes on although lost gateways take the places of all hubs when its owner is killed")
{
    constexpr int lostGateways = 100;
    gateway_fleet fleet({.gateways = 3, .replicas = 2, .replicaArguments = {"--event-ms", "60"}});
    addRowsOfLostGateways(fleet, lostGateways);
    REQUIRE(fleet.submitJob(0, "j1", 12).status == 202);
    fleet.gatewayProcess(0).signal(SIGKILL);
    fleet.gatewayProcess(0).waitForExit();
    CHECK(eventually([&] {
        return resultsOf(fleet.readJob(1, "j1")) == 12;
    }));
    CHECK(eventually([&] {
        return fleet.rowsOf("gateways") == 2;
    }));
}

// Guards against gateways that stay unknown to the others after they have been taken for lost.
TEST_CASE("a gateway that was removed while it was suspended registers again when it goes on")
{
    gateway_fleet fleet({.gateways = 3, .replicas = 1});
    REQUIRE(eventually([&] {
        return fleet.rowsOf("gateways") == 3;
    }));
    fleet.gatewayProcess(0).signal(SIGSTOP);
    CHECK(eventually([&] {
        return fleet.rowsOf("gateways") == 2;
    }));
    fleet.gatewayProcess(0).signal(SIGCONT);
    CHECK(eventually([&] {
        return fleet.rowsOf("gateways") == 3;
    }));
    CHECK(fleet.send(0, "/safe/1", "a").status == 200);
}
