#include "fleet.h"
#include "fleet_nodes.h"

#include "banyan/core/configuration_json.h"
#include "banyan/io/gossip_codec.h"
#include "banyan/io/gossip_seal.h"
#include "banyan/io/gossip_transport.h"
#include "banyan/io/log.h"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace banyan;
using namespace banyan::process_tests;

namespace {

/// A platform process and some nodes that see each other and have a configuration.
struct configured_fleet
{
    explicit configured_fleet(std::size_t count)
        : nodes(platform.platform())
    {
        configureLog(log_level::Error);
        for (std::size_t index = 0; index < count; ++index) {
            nodes.start();
        }
        REQUIRE(nodes.runUntil([&] {
            return nodes.allAt(0) && allSee(count);
        }));
    }

    [[nodiscard]] bool allSee(std::size_t count)
    {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (nodes.at(index).fleet.nodes().size() != count) {
                return false;
            }
        }
        return true;
    }

    patch_result submit(std::size_t index, configuration_version base, const std::string &caller)
    {
        return nodes.run(nodes.at(index).configurations.submitPatch(request(base, caller)));
    }

    static patch_request request(configuration_version base, const std::string &caller)
    {
        return {.author = operator_id("ana"),
                .baseVersion = base,
                .mergePatch = R"({"callers":{")" + caller + R"(":{"requests_per_second":5}}})",
                .reason = "a test"};
    }

    void setFaults(const boost::json::object &faults)
    {
        fleet::setFaults(platform.platform(), faults);
    }

    fleet platform{{.entries = 0, .engines = 0, .services = 0}};
    fleet_nodes nodes;
};

} // namespace

TEST_CASE("a patch that is committed right before an outage reaches every node, and one that starts during the outage")
{
    configured_fleet running(4);
    REQUIRE(running.submit(0, 0, "niebla").outcome == patch_outcome::Accepted);
    running.setFaults({{"down", true}});
    CHECK(running.nodes.runUntil([&] {
        return running.nodes.allAt(1);
    }));
    const auto &late = running.nodes.start();
    CHECK_FALSE(late.configurations.ready());
    CHECK(running.nodes.runUntil([&] {
        return running.nodes.allAt(1) && running.allSee(5);
    }));
    CHECK(running.submit(2, 1, "other").outcome == patch_outcome::Unavailable);
}

TEST_CASE("a patch whose answer is lost is settled: accepted once, and the same submission is answered alike")
{
    configured_fleet running(2);
    running.setFaults({{"lose_answers", 1}});
    patch_request request = configured_fleet::request(0, "niebla");
    request.submissionId = "s-1";
    const patch_result first = running.nodes.run(running.nodes.at(0).configurations.submitPatch(request));
    CHECK(first.outcome == patch_outcome::Accepted);
    const patch_result again = running.nodes.run(running.nodes.at(1).configurations.submitPatch(request));
    CHECK(again.outcome == patch_outcome::Accepted);
    CHECK(again.version == 1);
    CHECK(running.nodes.run(running.nodes.at(0).configurations.readAudit({.accepted = true})).size() == 1);
}

TEST_CASE("of racing operators one wins, and the other is told the version, the patches missed and the contested fields")
{
    configured_fleet running(3);
    std::vector<task<patch_result>> submissions;
    for (std::size_t index = 0; index < 3; ++index) {
        submissions.push_back(running.nodes.at(index).configurations.submitPatch(configured_fleet::request(0, "niebla")));
    }
    std::size_t accepted = 0;
    for (const patch_result &result : running.nodes.runAll(std::move(submissions))) {
        accepted += result.outcome == patch_outcome::Accepted ? 1 : 0;
        if (result.outcome != patch_outcome::Accepted) {
            CHECK(result.outcome == patch_outcome::Conflict);
            CHECK(result.version == 1);
            CHECK(result.missedPatches.size() == 1);
            CHECK(result.contestedFields == std::vector<std::string>{"callers.niebla.requests_per_second"});
        }
    }
    CHECK(accepted == 1);
    const auto refused = running.nodes.run(running.nodes.at(0).configurations.readAudit({.actor = operator_id("ana"), .accepted = false}));
    CHECK(refused.size() == 2);
}

TEST_CASE("a node that starts late catches up by snapshot and patches")
{
    configured_fleet running(1);
    constexpr configuration_version versions = 70; // past the first stored snapshot
    for (configuration_version base = 0; base < versions; ++base) {
        REQUIRE(running.submit(0, base, "c" + std::to_string(base)).outcome == patch_outcome::Accepted);
    }
    // The late node must come from the platform alone.
    fleet_nodes late(running.platform.platform());
    late.start();
    CHECK(late.runUntil([&] {
        return late.allAt(versions);
    }));
    CHECK(toJson(*late.at(0).configurations.current()) == toJson(*running.nodes.at(0).configurations.current()));
}

TEST_CASE("a node that leaves receives no new work, and goes on answering until it departs")
{
    configured_fleet running(3);
    running.nodes.at(0).fleet.leave();
    CHECK(running.nodes.runUntil([&] {
        return running.allSee(2);
    }));
    CHECK(running.nodes.at(1).fleet.reachableNodes().size() == 3);
    running.nodes.at(0).fleet.announceDeparture();
    CHECK(running.nodes.runUntil([&] {
        return running.nodes.at(1).fleet.reachableNodes().size() == 2 && running.nodes.at(2).fleet.reachableNodes().size() == 2;
    }));
}

TEST_CASE("datagrams of unknown senders and malformed ones are dropped and counted")
{
    asio::io_context context;
    gossip_transport receiver(context, endpoint::parse("127.0.0.1:0"), "secret");
    std::size_t taken = 0;
    receiver.onMessage([&](const gossip_message &) {
        ++taken;
    });
    receiver.open();
    asio::ip::udp::socket socket(context, asio::ip::udp::v4());
    const asio::ip::udp::endpoint target(asio::ip::make_address("127.0.0.1"), receiver.address().port);
    gossip_message message;
    message.sender.node = {.id = node_id("n"), .peerAddress = receiver.address()};
    const std::string payload = encodeGossip(message);
    for (const std::string &datagram : {gossip_seal("another secret").seal(payload),
                                        gossip_seal("secret").seal("not a message"),
                                        std::string("x"),
                                        gossip_seal("secret").seal(payload)}) {
        socket.send_to(asio::buffer(datagram), target);
    }
    while (taken == 0) {
        context.run_one();
    }
    CHECK(receiver.counters().droppedUnauthenticated == 2);
    CHECK(receiver.counters().droppedMalformed == 1);
    CHECK(taken == 1);
}
