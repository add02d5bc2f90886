#include "serving/start_budget.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point() + 1h;

int startsOf(start_budget &budget, work_class workClass, time_point now)
{
    int starts = 0;
    for (; budget.mayStart(workClass, now); ++starts) {
        budget.recordStart(now);
    }
    return starts;
}

} // namespace

TEST_CASE("start_budget keeps batch work to the limit, and lets online work use what is tolerated beyond it")
{
    const allowed_rate allowed = allowedRateOf(5, 1);
    start_budget batch(allowed, start);
    start_budget online(allowed, start);
    int batchStarts = 0;
    int onlineStarts = 0;
    for (time_point now = start; now < start + 20s; now += 10ms) {
        batchStarts += startsOf(batch, work_class::Batch, now);
        onlineStarts += startsOf(online, work_class::Online, now);
    }
    CHECK(batchStarts <= 5 * 20);
    CHECK(batchStarts >= 5 * 20 * 9 / 10);
    CHECK(onlineStarts > 5 * 20 * 13 / 10);
}

TEST_CASE("start_budget never exceeds what is tolerated in any four seconds, also after an idle time")
{
    for (const double limit : {0.2, 1.0, 2.5, 20.0}) {
        start_budget budget(allowedRateOf(limit, 1), start);
        const time_point idle = start + 1h;
        int starts = 0;
        for (time_point now = idle; now < idle + 4s; now += 1ms) {
            starts += startsOf(budget, work_class::Online, now);
        }
        CHECK(starts <= 1.5 * limit * 4 + 5);
        CHECK(starts >= limit * 4);
    }
}

TEST_CASE("start_budget allows no start at first, and says when the next one is allowed")
{
    start_budget budget({.perSecond = 2, .toleratedPerSecond = 4, .toleratedBurst = 2}, start);
    CHECK_FALSE(budget.mayStart(work_class::Online, start));
    CHECK(budget.whenMayStart(work_class::Online) <= start + 250ms);
    CHECK(budget.mayStart(work_class::Online, budget.whenMayStart(work_class::Online)));
    CHECK(budget.whenMayStart(work_class::Batch) > start + 400ms);
    CHECK(budget.mayStart(work_class::Batch, budget.whenMayStart(work_class::Batch)));
}

TEST_CASE("start_budget keeps no start that was allowed by a share which another node now has")
{
    start_budget budget(allowedRateOf(2, 1), start);
    const time_point idle = start + 1h;
    REQUIRE(budget.mayStart(work_class::Online, idle));
    budget.setRate(allowedRateOf(2, 0), idle);
    CHECK_FALSE(budget.mayStart(work_class::Online, idle));
    CHECK(budget.whenMayStart(work_class::Online) == time_point::max());
    budget.setRate(allowedRateOf(2, 0.5), idle);
    CHECK_FALSE(budget.mayStart(work_class::Online, idle));
}
