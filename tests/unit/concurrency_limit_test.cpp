#include "concurrency_limit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace banyan;

namespace {

/// Simulates @p windows windows of an engine with the limit always used. Its time per token rises above @p saturation requests.
void runWindows(concurrency_limit &limit, int windows, double saturation, double slowdown = 1)
{
    static time_point now;
    for (int i = 0; i < windows * 10; ++i) {
        now += std::chrono::milliseconds(60);
        const double serviceTime = 0.025 * std::max(1.0, limit.value() / saturation) * slowdown;
        limit.recordServiceTime(service_time_kind::Token, serviceTime, limit.value(), 0, now);
    }
}

} // namespace

TEST_CASE("concurrency_limit converges to the saturation point of the engine")
{
    for (const double saturation : {6.0, 20.0, 50.0}) {
        INFO("saturation " << saturation);
        concurrency_limit limit({.initial = 4});
        runWindows(limit, 200, saturation);
        CHECK(limit.value() >= saturation * 0.75);
        CHECK(limit.value() <= saturation * 1.25);
    }
}

TEST_CASE("concurrency_limit shrinks while the engine is slow and regrows within a few windows")
{
    concurrency_limit limit({});
    runWindows(limit, 100, 20);
    const std::uint32_t before = limit.value();
    runWindows(limit, 5, 20, 10);
    CHECK(limit.value() <= before / 2);
    runWindows(limit, 10, 20);
    CHECK(limit.value() >= before * 3 / 4);
}

TEST_CASE("concurrency_limit does not grow while it is not used")
{
    concurrency_limit limit({.initial = 8});
    for (int i = 0; i < 1000; ++i) {
        limit.recordServiceTime(service_time_kind::Token, 0.025, 2, 0, time_point() + i * std::chrono::milliseconds(60));
    }
    CHECK(limit.value() == 8);
}

TEST_CASE("concurrency_limit grows beyond slots that are left free on purpose")
{
    concurrency_limit limit({.initial = 4});
    for (int i = 0; i < 1000; ++i) {
        const std::uint32_t reserved = 2;
        limit.recordServiceTime(
            service_time_kind::Token, 0.025, limit.value() - reserved, reserved, time_point() + i * std::chrono::milliseconds(60));
    }
    CHECK(limit.value() == concurrency_limit_options().maximum);
}

TEST_CASE("concurrency_limit shrinks below the requests in flight at a rejection")
{
    concurrency_limit limit({.initial = 16});
    limit.recordRejection(10);
    CHECK(limit.value() == 9);
}

TEST_CASE("concurrency_limit does not collapse when the times of whole answers vary")
{
    std::mt19937 random(1);
    std::lognormal_distribution<double> seconds(0, 0.5);
    concurrency_limit limit({.initial = 8});
    for (int i = 0; i < 20000; ++i) {
        const auto now = time_point() + i * std::chrono::milliseconds(60);
        limit.recordServiceTime(service_time_kind::WholeAnswer, seconds(random), limit.value(), 0, now);
        REQUIRE(limit.value() >= 6);
    }
}
