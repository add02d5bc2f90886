#include "serving/return_forecast.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

/// Turns a client away every 10 ms for @p length from @p from on; returns when each is to come back, from @p from on.
std::vector<duration> burst(return_forecast &forecast, time_point from, duration length, duration longest, std::mt19937_64 &generator)
{
    std::vector<duration> returns;
    for (duration elapsed = 0ms; elapsed < length; elapsed += 10ms) {
        const return_forecast::situation situation{.expectedWait = 200ms, .longest = longest, .slotsPerSecond = 200};
        returns.push_back(elapsed + forecast.comeBackAfter(situation, from + elapsed, generator));
    }
    return returns;
}

} // namespace

TEST_CASE("return_forecast lets clients come back after the burst once it knows how long bursts last")
{
    return_forecast forecast;
    std::mt19937_64 generator(1);
    for (int number = 0; number < 3; ++number) {
        (void)burst(forecast, start + number * 6s, 2s, 1600ms, generator);
    }
    const std::vector<duration> returns = burst(forecast, start + 18s, 2s, 1600ms, generator);
    // Those that are turned away in the first 0.4 s cannot wait so long.
    const auto within = std::count_if(returns.begin() + 40, returns.end(), [](duration at) {
        return at < 1900ms;
    });
    CHECK(within == 0);
}

TEST_CASE("return_forecast spreads the returns over the time in which slots become free")
{
    return_forecast forecast;
    std::mt19937_64 generator(1);
    (void)burst(forecast, start, 2s, 1600ms, generator);
    std::vector<duration> returns = burst(forecast, start + 6s, 2s, 1600ms, generator);
    std::sort(returns.begin(), returns.end());
    // 160 clients with half of 200 slots a second free: within any 0.2 s no more than twice of what becomes free.
    for (std::size_t first = 0; first + 40 < returns.size(); ++first) {
        CHECK(returns[first + 40] - returns[first] >= 200ms);
    }
}

TEST_CASE("return_forecast never names a time at which the client would have given up")
{
    return_forecast forecast;
    std::mt19937_64 generator(1);
    (void)burst(forecast, start, 3s, 1s, generator);
    const time_point from = start + 10s;
    for (duration elapsed = 0ms; elapsed < 3s; elapsed += 10ms) {
        const return_forecast::situation situation{.expectedWait = 4s, .longest = 300ms, .slotsPerSecond = 200};
        const duration after = forecast.comeBackAfter(situation, from + elapsed, generator);
        CHECK(after <= 300ms);
        CHECK(after >= 100ms);
    }
}

TEST_CASE("return_forecast expects an unknown burst to last as long again, and the wait for a slot at least")
{
    return_forecast forecast;
    std::mt19937_64 generator(1);
    const return_forecast::situation situation{.expectedWait = 300ms, .longest = 5s, .slotsPerSecond = 1000};
    CHECK(forecast.comeBackAfter(situation, start, generator) >= 300ms);
    duration last{};
    for (duration elapsed = 100ms; elapsed <= 1s; elapsed += 100ms) {
        last = forecast.comeBackAfter(situation, start + elapsed, generator);
    }
    CHECK(last >= 1s);
    CHECK(last <= 1200ms);
}
