#include "banyan/core/serving/load_board.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

node_load load(const std::string &node, std::uint64_t sequence, std::uint32_t online, std::uint32_t batch, bool troubled = false)
{
    return {.sender = node_id(node),
            .sequence = sequence,
            .usage = {{7, {.online = online, .batch = batch, .degraded = troubled}}},
            .waitingOnline = {{3, online}}};
}

} // namespace

TEST_CASE("load_board sums up the latest report of each node")
{
    load_board board(1s);
    CHECK(board.record(load("a", 1, 2, 3), start));
    CHECK(board.record(load("b", 1, 1, 0, true), start));
    CHECK(board.record(load("a", 2, 4, 1), start));
    CHECK(board.usageOf(7).online == 5);
    CHECK(board.usageOf(7).batch == 1);
    CHECK(board.usageOf(7).degradedNodes == 1);
    CHECK(board.usageOf(8).online == 0);
    CHECK(board.waitingOnline(3) == 5);
}

TEST_CASE("load_board ignores a report that arrives after a later one")
{
    load_board board(1s);
    CHECK(board.record(load("a", 2, 4, 0), start));
    CHECK_FALSE(board.record(load("a", 1, 9, 0), start));
    CHECK(board.usageOf(7).online == 4);
}

TEST_CASE("load_board drops nodes that have stopped reporting")
{
    load_board board(1s);
    board.record(load("a", 1, 2, 0), start);
    board.record(load("b", 1, 1, 0), start + 500ms);
    board.expire(start + 1200ms);
    CHECK(board.usageOf(7).online == 1);
    CHECK(board.nodes() == std::vector<node_id>{node_id("b")});
}

TEST_CASE("load_board finds the node with the most batch work at an upstream")
{
    load_board board(1s);
    board.record(load("a", 1, 0, 2), start);
    board.record(load("b", 1, 0, 3), start);
    CHECK(board.largestBatch(7).batch == 3);
    CHECK(board.largestBatch(7).node == node_id("b"));
}

TEST_CASE("load_board lets only ready nodes schedule unless they are outnumbered by uncertain ones")
{
    load_board board(1s);
    const node_id self("self");
    node_load uncertain = load("a", 1, 0, 0);
    uncertain.schedulingState = scheduling_state::UpstreamsUncertain;
    board.record(uncertain, start);
    board.record(load("b", 1, 0, 0), start);
    CHECK(board.schedulingNodes(self, scheduling_state::Ready) == std::vector<node_id>{node_id("b"), self});
    CHECK(board.schedulingNodes(self, scheduling_state::ShuttingDown) == std::vector<node_id>{node_id("b")});
    CHECK(board.schedulingNodes(self, scheduling_state::UpstreamsUncertain) == std::vector<node_id>{node_id("b"), node_id("a"), self});
}

TEST_CASE("load_board finds no scheduling node if all nodes are shutting down")
{
    load_board board(1s);
    node_load stopping = load("a", 1, 0, 0);
    stopping.schedulingState = scheduling_state::ShuttingDown;
    board.record(stopping, start);
    CHECK(board.schedulingNodes(node_id("self"), scheduling_state::ShuttingDown).empty());
}

TEST_CASE("load_board counts the work of a node for a shorter time than it lists the node")
{
    load_board board(2s, 500ms);
    board.record(load("a", 1, 2, 3), start);
    board.expire(start + 600ms);
    CHECK(board.usageOf(7).online == 0);
    CHECK(board.largestBatch(7).batch == 0);
    CHECK(board.isUnresponsive(node_id("a")));
    CHECK(board.nodes() == std::vector<node_id>{node_id("a")});
    board.record(load("a", 2, 1, 0), start + 700ms);
    CHECK(board.usageOf(7).online == 1);
    CHECK_FALSE(board.isUnresponsive(node_id("a")));
    board.expire(start + 3s);
    CHECK(board.usageOf(7).online == 0);
    CHECK(board.nodes().empty());
}

TEST_CASE("load_board tells whether most nodes are ready by their last reports")
{
    load_board board(2s);
    const time_point now(1h);
    CHECK_FALSE(board.mostAreReady());
    const auto report = [&](const std::string &node, std::uint64_t sequence, scheduling_state state) {
        board.record({.sender = node_id(node), .sequence = sequence, .schedulingState = state}, now);
    };
    report("a", 1, scheduling_state::Ready);
    CHECK(board.mostAreReady());
    report("b", 1, scheduling_state::UpstreamsUncertain);
    CHECK_FALSE(board.mostAreReady());
    report("c", 1, scheduling_state::Ready);
    CHECK(board.mostAreReady());
    report("c", 2, scheduling_state::ShuttingDown);
    CHECK_FALSE(board.mostAreReady());
}
