#include "banyan/core/serving/upstream_limits.h"

#include "banyan/core/serving/rate_statement.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

using change = upstream_limits::change;

const time_point start{};
constexpr upstream_key incarnation = 7;
constexpr upstream_key nextIncarnation = 8;
const rate_statement unlimited{.what = rate_statement::content::Unlimited};

rate_statement limitOf(double perSecond)
{
    return {.what = rate_statement::content::Limited, .perSecond = perSecond};
}

} // namespace

TEST_CASE("upstream_limits holds a limit until an answer of the same incarnation names another one or none")
{
    upstream_limits limits;
    CHECK(limits.record(incarnation, unlimited, start) == change::None);
    CHECK(limits.record(incarnation, limitOf(2), start) == change::Named);
    CHECK(limits.allowedRates(start + 1h) == std::map<upstream_key, double>{{incarnation, 2}});
    CHECK(limits.record(incarnation, rate_statement(), start + 1s) == change::None);
    CHECK(limits.record(incarnation, limitOf(3), start + 1s) == change::Raised);
    CHECK(limits.record(incarnation, limitOf(1), start + 2s) == change::Lowered);
    CHECK(limits.allowedRates(start + 2s) == std::map<upstream_key, double>{{incarnation, 1}});
    CHECK(limits.limitedCount() == 1);
    CHECK(limits.record(incarnation, unlimited, start + 3s) == change::Ended);
    CHECK(limits.limitedCount() == 0);
}

TEST_CASE("upstream_limits does not limit a new incarnation by a late answer of the old one")
{
    upstream_limits limits;
    limits.record(nextIncarnation, limitOf(5), start);
    limits.record(nextIncarnation, unlimited, start + 10s);
    limits.expire({nextIncarnation}, start + 20s);
    limits.record(incarnation, limitOf(1), start + 20s);
    CHECK_FALSE(limits.allowedRates(start + 20s).contains(nextIncarnation));
}

TEST_CASE("upstream_limits lets probes through to an upstream that takes nothing, so that the end of its limit is learnt")
{
    upstream_limits limits({.probesPerSecond = 0.2});
    limits.record(incarnation, limitOf(0), start);
    CHECK(limits.allowedRates(start).at(incarnation) == 0.2);
}

TEST_CASE("upstream_limits returns an upstream to its full rate step by step")
{
    upstream_limits limits({.recoveryDoubling = 500ms, .recoveryTime = 4s});
    limits.record(incarnation, limitOf(2), start);
    limits.record(incarnation, unlimited, start + 1s);
    CHECK(limits.allowedRates(start + 1s).at(incarnation) == Approx(2));
    CHECK(limits.allowedRates(start + 2s).at(incarnation) == Approx(8));
    CHECK(limits.allowedRates(start + 5s).empty());
    limits.expire({incarnation}, start + 5s);
    CHECK(limits.empty());
}

TEST_CASE("upstream_limits goes by the latest answer, whichever node it was made to")
{
    upstream_limits limits;
    CHECK(limits.recordReport({.start = incarnation, .ended = true, .age = 0s}, start) == change::None);
    CHECK(limits.recordReport({.start = incarnation, .perSecond = 4, .age = 1s}, start + 2s) == change::Named);
    // An older answer that another node reports later changes nothing.
    CHECK(limits.recordReport({.start = incarnation, .perSecond = 9, .age = 2s}, start + 2500ms) == change::None);
    CHECK(limits.record(incarnation, limitOf(3), start + 3s) == change::Lowered);
    CHECK(limits.recordReport({.start = incarnation, .ended = true, .age = 500ms}, start + 3200ms) == change::None);
    CHECK(limits.recordReport({.start = incarnation, .ended = true, .perSecond = 3, .age = 100ms}, start + 4s) == change::Ended);
}

TEST_CASE("upstream_limits reports what this node was told lately, the latest first and not more than fits")
{
    upstream_limits limits({.reportPeriod = 10s, .maximumReported = 2});
    limits.record(1, limitOf(1), start);
    limits.record(2, limitOf(2), start + 6s);
    limits.record(3, limitOf(3), start + 7s);
    limits.record(4, limitOf(4), start + 8s);
    limits.recordReport({.start = 5, .perSecond = 5}, start + 8s);
    const std::vector<reported_limit> reported = limits.toReport(start + 11s);
    REQUIRE(reported.size() == 2);
    CHECK(reported.front() == reported_limit{.start = 4, .perSecond = 4, .age = 3s});
    CHECK(reported.back() == reported_limit{.start = 3, .perSecond = 3, .age = 4s});
}

TEST_CASE("upstream_limits forgets incarnations that are not registered any more")
{
    upstream_limits limits({.unregisteredRetention = 60s});
    limits.record(incarnation, limitOf(2), start);
    limits.expire({}, start + 59s);
    CHECK(limits.limitedCount() == 1);
    limits.expire({incarnation}, start + 60s);
    limits.expire({}, start + 100s);
    CHECK(limits.limitedCount() == 1);
    limits.expire({}, start + 121s);
    CHECK(limits.empty());
}
