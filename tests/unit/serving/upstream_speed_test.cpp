#include "serving/speed_comparison.h"
#include "serving/upstream_speed.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start(1000h);
constexpr duration interval = 200ms; // Between two first bytes of an upstream.

/// Records first bytes with a factor, one each interval; returns the end.
time_point recordFor(upstream_speed &speed, double factor, time_point from, duration length)
{
    time_point now = from;
    for (; now < from + length; now += interval) {
        speed.recordFirstByte(factor, now);
    }
    return now;
}

} // namespace

TEST_CASE("upstream_speed takes a new upstream for an average one")
{
    const upstream_speed speed;
    CHECK(speed.usualFactor() == 1);
    CHECK(speed.currentFactor(start) == 1);
    CHECK_FALSE(speed.isKnown(start));
}

TEST_CASE("upstream_speed tells a slow machine from a moment's slowness")
{
    upstream_speed speed;
    const time_point steady = recordFor(speed, 1.6, start, 30s);
    CHECK(speed.isKnown(steady));
    CHECK(speed.usualFactor() == Approx(1.6).epsilon(0.05));
    const time_point disturbed = recordFor(speed, 1.6 * 2.5, steady, 600ms);
    CHECK(speed.currentFactor(disturbed - interval) > 1.6 * 1.7);
    CHECK(speed.usualFactor() == Approx(1.6).epsilon(0.1));
    CHECK(speed.currentFactor(disturbed + 3s) == Approx(1.6).epsilon(0.1)); // Without any further run.
}

TEST_CASE("upstream_speed follows a machine whose speed has changed for good")
{
    upstream_speed speed;
    const time_point changed = recordFor(speed, 0.6, start, 30s);
    recordFor(speed, 1.2, changed, 60s);
    CHECK(speed.usualFactor() == Approx(1.2).epsilon(0.1));
}

TEST_CASE("upstream_speed does not count as known after a time without runs")
{
    upstream_speed speed;
    const time_point end = recordFor(speed, 1.6, start, 30s);
    CHECK_FALSE(speed.isKnown(end + 60s));
}

TEST_CASE("speed_comparison finds upstreams uneven only if they differ several times in a row")
{
    speed_comparison speeds;
    speeds.update({0.6, 1, 1.6}, true, start);
    CHECK_FALSE(speeds.areUneven());
    CHECK_FALSE(speeds.isDue(start + 500ms));
    speeds.update({0.6, 1, 1.6}, true, start + 1s);
    speeds.update({0.6, 1, 1.6}, true, start + 2s);
    CHECK(speeds.areUneven());
    speeds.update({1, 1.02, 1.05}, true, start + 3s);
    CHECK_FALSE(speeds.areUneven());
}

TEST_CASE("speed_comparison ignores a single slow upstream among many equal ones")
{
    speed_comparison speeds;
    std::vector<double> factors(20, 1);
    factors.back() = 8;
    for (int second = 0; second < 5; ++second) {
        speeds.update(factors, true, start + second * 1s);
    }
    CHECK_FALSE(speeds.areUneven());
}

TEST_CASE("speed_comparison asks for a greater difference of few upstreams and of ones that have been measured for a short time")
{
    const std::vector<double> slight{1, 1, 1, 1, 1, 1, 1, 1.4};
    speed_comparison settled;
    speed_comparison early;
    speed_comparison few;
    speed_comparison great;
    for (int second = 0; second < 5; ++second) {
        settled.update(slight, true, start + second * 1s);
        early.update(slight, false, start + second * 1s);
        few.update({1, 1, 1.4}, true, start + second * 1s);
        great.update({0.6, 1, 1.6}, false, start + second * 1s);
    }
    CHECK(settled.areUneven());
    CHECK_FALSE(early.areUneven());
    CHECK_FALSE(few.areUneven());
    CHECK(great.areUneven());
}
