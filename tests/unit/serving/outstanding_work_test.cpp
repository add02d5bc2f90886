#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/outstanding_work.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start(1000h);

} // namespace

TEST_CASE("outstanding_work counts down with the time that its runs have had")
{
    outstanding_work work;
    work.add(1, 4, start);
    work.add(1, 2, start + 1s);
    CHECK(work.remainingSeconds(start + 1s) == Approx(5));
    CHECK(work.remainingSeconds(start + 2s) == Approx(3));
    work.remove(1, 4, start);
    CHECK(work.remainingSeconds(start + 2s) == Approx(1));
    work.remove(1, 2, start + 1s);
    CHECK(work == outstanding_work());
}

TEST_CASE("outstanding_work expects some rest of runs that have outlasted their expected time")
{
    outstanding_work work;
    work.add(2, 4, start);
    CHECK(work.remainingSeconds(start + 1h) == Approx(0.8));
}

TEST_CASE("load_board counts down the remaining work of other nodes from the arrival of their reports")
{
    load_board board(10s, 2s);
    board.record({.sender = node_id("a"), .sequence = 1, .usage = {{7, {.online = 1, .batch = 1, .remainingWork = 3000}}}}, start);
    board.record({.sender = node_id("b"), .sequence = 1, .usage = {{7, {.online = 2}}}}, start); // States no remaining work.
    CHECK(board.usageOf(7).work.runs() == 2);
    CHECK(board.usageOf(7).work.remainingSeconds(start + 500ms) == Approx(2));
    board.record({.sender = node_id("a"), .sequence = 2, .usage = {{7, {.online = 1, .remainingWork = 1000}}}}, start + 1s);
    CHECK(board.usageOf(7).work.remainingSeconds(start + 1s) == Approx(1));
    board.expire(start + 4s);
    CHECK(board.usageOf(7).work.runs() == 0);
}
