#include "banyan/core/rate_limiter.h"

#include <catch2/catch.hpp>

using namespace banyan;

namespace {

constexpr time_point start{};

} // namespace

TEST_CASE("rate_limiter admits a burst and refuses what follows at once")
{
    rate_limiter limiter({.perSecond = 10, .burst = 3});
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(limiter.admit(start).has_value());
    }
    CHECK(limiter.admit(start) == std::chrono::milliseconds(100));
}

TEST_CASE("rate_limiter admits after the time that it named and not before")
{
    rate_limiter limiter({.perSecond = 3, .burst = 1});
    REQUIRE_FALSE(limiter.admit(start).has_value());
    const duration wait = limiter.admit(start).value();
    CHECK(limiter.admit(start + wait - duration(10)).has_value());
    CHECK_FALSE(limiter.admit(start + wait).has_value());
}

TEST_CASE("rate_limiter holds the rate over a long time")
{
    rate_limiter limiter({.perSecond = 50, .burst = 5});
    int admitted = 0;
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        admitted += limiter.admit(start + std::chrono::milliseconds(millisecond)) ? 0 : 1;
    }
    CHECK(admitted == 504);
}
