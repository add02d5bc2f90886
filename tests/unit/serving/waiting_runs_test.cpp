#include "serving/waiting_runs.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

slot_request run(const std::string &id, duration target, std::uint32_t priority = 0, caller_key caller = 0)
{
    return {.id = request_id(id), .priority = priority, .target = start + target, .caller = caller};
}

/// Takes all runs; returns their ids in order.
std::string drain(waiting_runs &runs)
{
    std::string result;
    while (const slot_request *const next = runs.next({})) {
        result += runs.take(request_id(next->id)).id.text();
    }
    return result;
}

void addFour(waiting_runs &runs)
{
    runs.add(run("d", 100ms), true, start + 1s);
    runs.add(run("c", 50ms, 2), false, start + 1s);
    runs.add(run("b", 300ms), false, start + 1s);
    runs.add(run("a", 200ms), false, start + 1s);
}

} // namespace

TEST_CASE("waiting_runs orders by lateness, then by priority, then by target")
{
    waiting_runs runs;
    addFour(runs);
    CHECK(runs.onTimeCount() == 3);
    CHECK(drain(runs) == "abcd");
    addFour(runs);
    CHECK(runs.remove(request_id("b")).has_value());
    CHECK_FALSE(runs.remove(request_id("b")).has_value());
    CHECK(drain(runs) == "acd");
    CHECK(runs.empty());
}

TEST_CASE("waiting_runs returns a run as expired at its expiry time and not before")
{
    waiting_runs runs;
    runs.add(run("a", 200ms), false, start + 150ms);
    runs.add(run("b", 100ms), true, start + 50ms);
    CHECK(runs.nextExpiry() == start + 50ms);
    CHECK(runs.firstExpired(start + 49ms) == nullptr);
    REQUIRE(runs.firstExpired(start + 50ms) != nullptr);
    CHECK(runs.firstExpired(start + 50ms)->id == request_id("b"));
    CHECK(runs.remove(request_id("b")).has_value());
    CHECK(runs.onTimeCount() == 1);
    CHECK(runs.firstExpired(start + 50ms) == nullptr);
    CHECK(runs.nextExpiry() == start + 150ms);
}

TEST_CASE("waiting_runs passes over runs of blocked kinds only")
{
    waiting_runs runs;
    slot_request bound = run("a", 100ms);
    bound.version = "v2";
    runs.add(bound, false, start + 1s);
    runs.add(run("b", 200ms), false, start + 1s);
    CHECK(runs.next({})->id == request_id("a"));
    CHECK(runs.next({waiting_runs::kindOf(bound)})->id == request_id("b"));
    CHECK(runs.next({waiting_runs::kindOf(bound), waiting_runs::kindOf(run("b", 200ms))}) == nullptr);
}

TEST_CASE("waiting_runs shares the slots between callers, so that none waits behind the burst of another one")
{
    waiting_runs runs;
    for (const std::string id : {"a", "b", "c", "d", "e"}) {
        runs.add(run(id, 100ms, 0, 1), false, start + 1s);
    }
    CHECK(runs.take(request_id("a")).caller == 1);
    runs.add(run("x", 200ms, 0, 2), false, start + 1s);
    runs.add(run("y", 210ms, 0, 2), false, start + 1s);
    CHECK(runs.aheadOf(request_id("y")) == 4); // Two of each caller.
    CHECK(runs.aheadOf(request_id("e")) == 6);
    CHECK(drain(runs) == "xbycde");
}

TEST_CASE("waiting_runs charges callers for the expected cost of their runs")
{
    waiting_runs runs;
    for (const std::string id : {"A", "B"}) {
        runs.add(run(id, 100ms, 0, 1), false, start + 1s, 3);
    }
    for (const std::string id : {"u", "v", "w", "x"}) {
        runs.add(run(id, 200ms, 0, 2), false, start + 1s);
    }
    CHECK(drain(runs) == "AuvwBx");
}

TEST_CASE("waiting_runs names the newest run of the caller with most of the queue, or a less urgent one, to be refused first")
{
    waiting_runs runs;
    for (const std::string id : {"a", "b", "c"}) {
        runs.add(run(id, 100ms, 1, 1), false, start + 1s);
    }
    runs.add(run("x", 50ms, 1, 2), false, start + 1s);
    CHECK(runs.lessEntitledThan(request_id("x"))->id == request_id("c"));
    CHECK(runs.lessEntitledThan(request_id("c")) == nullptr);
    runs.add(run("p", 50ms, 2, 3), false, start + 1s);
    CHECK(runs.lessEntitledThan(request_id("c"))->id == request_id("p"));
    runs.add(run("q", 50ms, 0, 3), false, start + 1s);
    CHECK(runs.lessEntitledThan(request_id("p")) == nullptr);
}

TEST_CASE("waiting_runs lets less urgent runs have one of sixteen slots")
{
    waiting_runs runs;
    for (int number = 0; number < 40; ++number) {
        runs.add(run(std::string(1, static_cast<char>('0' + number)), 100ms + number * 1ms), false, start + 1s);
    }
    runs.add(run("z", 100ms, 2), false, start + 1s);
    CHECK(runs.aheadOf(request_id("z")) == waiting_runs::starvationInterval);
    CHECK(drain(runs).find('z') == waiting_runs::starvationInterval - 1);
}

TEST_CASE("waiting_runs takes runs that exclude different upstreams for runs of different kinds")
{
    waiting_runs runs;
    slot_request first = run("a", 100ms);
    first.excluded = {upstream_id("u1")};
    slot_request second = run("b", 200ms);
    second.excluded = {upstream_id("u2")};
    runs.add(first, false, start + 1s);
    runs.add(second, false, start + 1s);
    CHECK(runs.next({waiting_runs::kindOf(first)})->id == request_id("b"));
}

TEST_CASE("waiting_runs gives a middle urgency one slot in a turn when the least urgent runs find none")
{
    waiting_runs runs;
    for (int number = 0; number < 40; ++number) {
        runs.add(run("urgent-" + std::to_string(number), 100ms + number * 1ms), false, start + 1s);
    }
    runs.add(run("middle-1", 100ms, 1), false, start + 1s);
    runs.add(run("middle-2", 110ms, 1), false, start + 1s);
    slot_request bound = run("bound", 100ms, 2);
    bound.version = "v1";
    runs.add(bound, false, start + 1s);
    int middle = 0;
    for (std::uint32_t grants = 0; grants < waiting_runs::starvationInterval + 3; ++grants) {
        const slot_request *const next = runs.next({waiting_runs::kindOf(bound)});
        middle += runs.take(request_id(next->id)).priority == 1 ? 1 : 0;
    }
    CHECK(middle == 1);
}
