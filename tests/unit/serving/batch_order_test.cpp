#include "serving/batch_order.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point now = time_point(100s);

slot_request item(const std::string &id, duration left, duration ran = 0s)
{
    return {.id = request_id(id), .workClass = work_class::Batch, .target = now + left, .earlierRunTime = ran};
}

/// An order that has measured items of 6 s at upstreams.
batch_order learnedOrder()
{
    batch_order order;
    for (int count = 0; count < 100; ++count) {
        order.completed(6s);
    }
    return order;
}

} // namespace

TEST_CASE("batch_order orders by the end of the window while nothing has been measured")
{
    const batch_order order;
    CHECK(order.rankOf(item("a", 5s), now) < order.rankOf(item("b", 9s), now));
}

TEST_CASE("batch_order runs started items first, then items with ample slack, then items with little slack")
{
    const batch_order order = learnedOrder();
    const batch_order::rank started = order.rankOf(item("a", 9s, 2s), now);
    const batch_order::rank ampleSlack = order.rankOf(item("b", 14s), now);
    const batch_order::rank littleSlack = order.rankOf(item("c", 7s), now);
    CHECK(started < ampleSlack);
    CHECK(ampleSlack < littleSlack);
}

TEST_CASE("batch_order does not count an item as started that was preempted right after its start")
{
    const batch_order order = learnedOrder();
    const batch_order::rank cut = order.rankOf(item("a", 9s, 10ms), now);
    const batch_order::rank started = order.rankOf(item("b", 9s, 2s), now);
    const batch_order::rank ampleSlack = order.rankOf(item("c", 8s), now);
    CHECK(started < ampleSlack);
    CHECK(ampleSlack < cut);
}

TEST_CASE("batch_order runs items that cannot complete in time only after all others, whatever their priority")
{
    const batch_order order = learnedOrder();
    slot_request urgent = item("a", 5s);
    slot_request other = item("b", 8s);
    other.priority = 3;
    CHECK(order.rankOf(other, now) < order.rankOf(urgent, now));
    // The same item can complete in time once it has run for 4 of its 6 s.
    CHECK(order.rankOf(item("a", 5s, 4s), now) < order.rankOf(other, now));
}

TEST_CASE("batch_order reclaims the slots of runs that cannot complete in time first, and of nearly complete runs last")
{
    const batch_order order = learnedOrder();
    const duration targetUnreachable = order.reclaimPriority(item("a", 1s), now - 1s, now);
    const duration justStarted = order.reclaimPriority(item("b", 15s), now, now);
    const duration nearlyDone = order.reclaimPriority(item("c", 15s, 3s), now - 2s, now);
    CHECK(targetUnreachable > justStarted);
    CHECK(justStarted > nearlyDone);
}
