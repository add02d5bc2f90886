#include "banyan/core/rate_limiter.h"

#include <catch2/catch.hpp>

using namespace banyan;

namespace {

constexpr time_point start{std::chrono::seconds(1000)};

int admittedWithin(rate_limiter &limits, const caller_settings &caller, const service_settings &service, duration time)
{
    int admitted = 0;
    for (duration elapsed{}; elapsed < time; elapsed += std::chrono::milliseconds(1)) {
        admitted += limits.admit(caller, service, start + elapsed) ? 0 : 1;
    }
    return admitted;
}

} // namespace

TEST_CASE("rate_limiter admits everything without a limit")
{
    rate_limiter limits;
    CHECK(admittedWithin(limits, {.id = caller_id("a")}, {.name = service_name("s")}, std::chrono::seconds(1)) == 1000);
}

TEST_CASE("rate_limiter limits a caller to its rate plus a burst of one second")
{
    rate_limiter limits;
    const caller_settings caller{.id = caller_id("a"), .requestsPerSecond = 10};
    const int admitted = admittedWithin(limits, caller, {.name = service_name("s")}, std::chrono::seconds(10));
    CHECK(admitted >= 100);
    CHECK(admitted <= 110);
}

TEST_CASE("rate_limiter admits a burst at once and rejects further requests")
{
    rate_limiter limits;
    const caller_settings caller{.id = caller_id("a"), .requestsPerSecond = 10};
    int admitted = 0;
    for (int request = 0; request < 100; ++request) {
        admitted += limits.admit(caller, {.name = service_name("s")}, start) ? 0 : 1;
    }
    CHECK(admitted == 10);
}

TEST_CASE("rate_limiter returns the wait until the next request is admitted")
{
    rate_limiter limits;
    const caller_settings caller{.id = caller_id("a"), .requestsPerSecond = 2};
    const service_settings service{.name = service_name("s")};
    CHECK_FALSE(limits.admit(caller, service, start));
    CHECK_FALSE(limits.admit(caller, service, start));
    const std::optional<duration> wait = limits.admit(caller, service, start);
    REQUIRE(wait);
    CHECK(*wait == std::chrono::milliseconds(500));
    CHECK(limits.admit(caller, service, start + *wait - duration(1)));
    CHECK_FALSE(limits.admit(caller, service, start + *wait));
}

TEST_CASE("rate_limiter does not charge a caller for requests that the service's limit rejected")
{
    rate_limiter limits;
    const caller_settings caller{.id = caller_id("a"), .requestsPerSecond = 2};
    const service_settings narrow{.name = service_name("narrow"), .requestsPerSecond = 1};
    CHECK_FALSE(limits.admit(caller, narrow, start));
    CHECK(limits.admit(caller, narrow, start));
    CHECK_FALSE(limits.admit(caller, {.name = service_name("wide")}, start));
}
