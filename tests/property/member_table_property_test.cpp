#include "banyan/core/member_table.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1000s};

member_update anyReport()
{
    return {.node = {.id = node_id("n")},
            .incarnation = *rc::gen::inRange<std::uint32_t>(0, 4),
            .state = *rc::gen::weightedElement<member_state>(
                {{6, member_state::Alive}, {3, member_state::Suspect}, {3, member_state::Dead}, {1, member_state::Left}}),
            .leaving = *rc::gen::inRange(0, 5) == 0};
}

/// Reports on one node, as confused as gossip can bring them. Few of them, so that single ones decide.
std::vector<member_update> anyReports()
{
    std::vector<member_update> result;
    const int count = *rc::gen::inRange(1, 8);
    result.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        result.push_back(anyReport());
    }
    return result;
}

/// The naive version: all reports in one list; the highest incarnation counts, and there the worst that was said.
struct reference_view
{
    bool running = true;
    bool leaving = false;
};

reference_view referenceView(const std::vector<member_update> &reports)
{
    reference_view result;
    std::uint32_t highest = 0;
    for (const member_update &report : reports) {
        highest = std::max(highest, report.incarnation);
    }
    for (const member_update &report : reports) {
        const bool notAlive = report.state != member_state::Alive;
        result.running = result.running && !(report.state == member_state::Left || (notAlive && report.incarnation == highest));
        result.leaving = result.leaving || report.leaving; // tells nothing of a node that does not run
    }
    return result;
}

/// The table's verdict when all suspicions have ended.
reference_view tableView(const std::vector<member_update> &reports)
{
    member_table table({});
    time_point now = start;
    for (const member_update &report : reports) {
        now += 1ms;
        static_cast<void>(table.merge(report, now));
    }
    static_cast<void>(table.expire(now + 1min));
    const member_update *const latest = table.find(node_id("n"));
    return {.running = isRunning(latest->state), .leaving = latest->leaving};
}

} // namespace

TEST_CASE("the table's verdict is that of a naive list, whatever order reports come in and however often")
{
    rc::prop("shuffled reports with repetitions", [] {
        std::vector<member_update> reports = anyReports();
        const reference_view expected = referenceView(reports);
        for (int round = 0; round < 3; ++round) {
            const std::size_t repeated = *rc::gen::inRange<std::size_t>(0, reports.size());
            reports.push_back(reports[repeated]);
            std::shuffle(reports.begin(), reports.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
            const reference_view actual = tableView(reports);
            RC_ASSERT(actual.running == expected.running);
            RC_ASSERT((!expected.running || actual.leaving == expected.leaving));
        }
    });
}

TEST_CASE("stale reports neither revive a dead node nor kill a running one")
{
    rc::prop("reports of lower incarnations, or of the same one and no worse", [] {
        member_table table({});
        member_update present{.node = {.id = node_id("n")}, .incarnation = 3};
        const bool dead = *rc::gen::arbitrary<bool>();
        static_cast<void>(table.merge(present, start));
        if (dead) {
            static_cast<void>(table.declareDead(present.node.id, start));
        }
        for (member_update report : anyReports()) {
            if (report.state == member_state::Left) {
                continue;
            }
            if (report.incarnation == 3 && !dead) {
                report.state = member_state::Alive;
            }
            static_cast<void>(table.merge(report, start + 1s));
        }
        static_cast<void>(table.expire(start + 1min));
        RC_ASSERT(isRunning(table.find(present.node.id)->state) == !dead);
    });
}

TEST_CASE("a suspicion lasts longer in a larger fleet, and a report of death is refutable as long")
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

TEST_CASE("the table forgets dead nodes in time and takes no more than its limit")
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
