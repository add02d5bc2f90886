#include "serving/retry_after_estimator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

/// Rejects a client every 10 ms for @p length, starting at @p from; returns the retry time of each, relative to @p from.
std::vector<duration>
burst(retry_after_estimator &estimator, time_point from, duration length, duration maximumRetryAfter, std::mt19937_64 &generator)
{
    std::vector<duration> retryTimes;
    for (duration elapsed = 0ms; elapsed < length; elapsed += 10ms) {
        const retry_after_estimator::load_conditions conditions{
            .expectedWait = 200ms, .maximumRetryAfter = maximumRetryAfter, .slotsPerSecond = 200};
        retryTimes.push_back(elapsed + estimator.retryAfter(conditions, from + elapsed, generator));
    }
    return retryTimes;
}

} // namespace

TEST_CASE("retry_after_estimator lets clients retry after the burst once it has measured earlier bursts")
{
    retry_after_estimator estimator;
    std::mt19937_64 generator(1);
    for (int number = 0; number < 3; ++number) {
        (void)burst(estimator, start + number * 6s, 2s, 1600ms, generator);
    }
    const std::vector<duration> retryTimes = burst(estimator, start + 18s, 2s, 1600ms, generator);
    // Clients that are rejected in the first 0.4 s cannot wait until the end of the burst.
    const auto within = std::count_if(retryTimes.begin() + 40, retryTimes.end(), [](duration at) {
        return at < 1900ms;
    });
    CHECK(within == 0);
}

TEST_CASE("retry_after_estimator spreads the retries over the time in which slots become free")
{
    retry_after_estimator estimator;
    std::mt19937_64 generator(1);
    (void)burst(estimator, start, 2s, 1600ms, generator);
    std::vector<duration> retryTimes = burst(estimator, start + 6s, 2s, 1600ms, generator);
    std::sort(retryTimes.begin(), retryTimes.end());
    // 160 clients, and half of 200 slots a second for retries: in any 0.2 s at most twice as many retries as free slots.
    for (std::size_t first = 0; first + 40 < retryTimes.size(); ++first) {
        CHECK(retryTimes[first + 40] - retryTimes[first] >= 200ms);
    }
}

TEST_CASE("retry_after_estimator never exceeds the maximum Retry-After time of the client")
{
    retry_after_estimator estimator;
    std::mt19937_64 generator(1);
    (void)burst(estimator, start, 3s, 1s, generator);
    const time_point from = start + 10s;
    for (duration elapsed = 0ms; elapsed < 3s; elapsed += 10ms) {
        const retry_after_estimator::load_conditions conditions{.expectedWait = 4s, .maximumRetryAfter = 300ms, .slotsPerSecond = 200};
        const duration after = estimator.retryAfter(conditions, from + elapsed, generator);
        CHECK(after <= 300ms);
        CHECK(after >= 100ms);
    }
}

TEST_CASE("retry_after_estimator expects a burst of unknown length to last as long again, and at least the wait for a slot")
{
    retry_after_estimator estimator;
    std::mt19937_64 generator(1);
    const retry_after_estimator::load_conditions conditions{.expectedWait = 300ms, .maximumRetryAfter = 5s, .slotsPerSecond = 1000};
    CHECK(estimator.retryAfter(conditions, start, generator) >= 300ms);
    duration last{};
    for (duration elapsed = 100ms; elapsed <= 1s; elapsed += 100ms) {
        last = estimator.retryAfter(conditions, start + elapsed, generator);
    }
    CHECK(last >= 1s);
    CHECK(last <= 1200ms);
}
