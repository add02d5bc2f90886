#include "banyan/core/member_table.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

member_update anyUpdate()
{
    return {.node = {.id = node_id("n")},
            .incarnation = *rc::gen::inRange<std::uint32_t>(0, 4),
            .state = *rc::gen::weightedElement<member_state>(
                {{6, member_state::Alive}, {3, member_state::Suspect}, {3, member_state::Dead}, {1, member_state::Left}}),
            .leaving = *rc::gen::inRange(0, 5) == 0};
}

/// Random updates on one node in any order. Their number is small, so that single updates determine the result.
std::vector<member_update> anyUpdates()
{
    std::vector<member_update> result;
    const int count = *rc::gen::inRange(1, 8);
    result.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        result.push_back(anyUpdate());
    }
    return result;
}

/// A reference model that evaluates all updates: the worst state of the highest incarnation counts, and Left always does.
struct reference_view
{
    bool running = true;
    bool leaving = false;
};

reference_view referenceView(const std::vector<member_update> &updates)
{
    reference_view result;
    std::uint32_t highest = 0;
    for (const member_update &update : updates) {
        highest = std::max(highest, update.incarnation);
    }
    for (const member_update &update : updates) {
        const bool notAlive = update.state != member_state::Alive;
        result.running = result.running && !(update.state == member_state::Left || (notAlive && update.incarnation == highest));
        result.leaving = result.leaving || update.leaving; // not compared if the node is not running
    }
    return result;
}

/// The state of the node in a table after all suspicions have timed out.
reference_view tableView(const std::vector<member_update> &updates)
{
    member_table table({});
    time_point now = start;
    for (const member_update &update : updates) {
        now += 1ms;
        static_cast<void>(table.merge(update, now));
    }
    static_cast<void>(table.expire(now + 1min));
    const member_update *const latest = table.find(node_id("n"));
    return {.running = isRunning(latest->state), .leaving = latest->leaving};
}

} // namespace

TEST_CASE("the table agrees with a reference model for any order and repetition of updates")
{
    rc::prop("shuffled updates with repetitions", [] {
        std::vector<member_update> updates = anyUpdates();
        const reference_view expected = referenceView(updates);
        for (int round = 0; round < 3; ++round) {
            const std::size_t repeated = *rc::gen::inRange<std::size_t>(0, updates.size());
            updates.push_back(updates[repeated]);
            std::shuffle(updates.begin(), updates.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
            const reference_view actual = tableView(updates);
            RC_ASSERT(actual.running == expected.running);
            RC_ASSERT((!expected.running || actual.leaving == expected.leaving));
        }
    });
}

TEST_CASE("stale updates neither revive a dead node nor declare a running one dead")
{
    rc::prop("updates with lower incarnations, or with the same one and no later state", [] {
        member_table table({});
        member_update present{.node = {.id = node_id("n")}, .incarnation = 3};
        const bool dead = *rc::gen::arbitrary<bool>();
        static_cast<void>(table.merge(present, start));
        if (dead) {
            static_cast<void>(table.declareDead(present.node.id, start));
        }
        for (member_update update : anyUpdates()) {
            if (update.state == member_state::Left) {
                continue;
            }
            if (update.incarnation == 3 && !dead) {
                update.state = member_state::Alive;
            }
            static_cast<void>(table.merge(update, start + 1s));
        }
        static_cast<void>(table.expire(start + 1min));
        RC_ASSERT(isRunning(table.find(present.node.id)->state) == !dead);
    });
}

TEST_CASE("a suspicion lasts longer in a larger fleet, and an update that declares a node dead can be refuted as long")
{
    member_table table({});
    const auto timeoutAt = [&](std::size_t nodes) {
        while (table.running().size() + 1 < nodes) {
            static_cast<void>(table.merge({.node = {.id = node_id("m" + std::to_string(table.running().size()))}}, start));
        }
        return table.suspicionTimeout();
    };
    CHECK(timeoutAt(3) == 2s);
    CHECK(timeoutAt(100) == 4s);
    CHECK(timeoutAt(1000) == 6s);
    const node_id victim("m7");
    CHECK(table.merge({.node = {.id = victim}, .state = member_state::Dead}, start) == member_change::Updated);
    CHECK(table.expire(start + 5s).empty());
    CHECK(table.merge({.node = {.id = victim}, .incarnation = 1}, start + 5s) == member_change::Updated);
    CHECK(table.expire(start + 7s).empty());
}

TEST_CASE("the table removes dead nodes after the retention time and holds no more nodes than its limit")
{
    member_table table({.maximumMembers = 10});
    for (int number = 0; number < 30; ++number) {
        static_cast<void>(table.merge({.node = {.id = node_id("m" + std::to_string(number))}}, start));
    }
    CHECK(table.running().size() == 10);
    CHECK(table.declareDead(node_id("m0"), start) == member_change::ViewChanged);
    CHECK(table.expire(start + 9min).empty());
    CHECK(table.find(node_id("m0")) != nullptr);
    CHECK(table.expire(start + 11min).empty());
    CHECK(table.find(node_id("m0")) == nullptr);
}
