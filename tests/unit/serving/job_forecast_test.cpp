#include "banyan/core/serving/job_forecast.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start(1h);
constexpr duration window = 10s;

/// A forecast for 10 slots of which online work holds 2, each with 100 tokens a second: 8,000 tokens in a window.
job_forecast knownForecast()
{
    job_forecast forecast;
    forecast.observed(10, 2, start);
    forecast.completed(500, 5s);
    return forecast;
}

std::vector<job_entry> jobs(std::size_t count, std::uint64_t tokens, time_point submittedAt)
{
    std::vector<job_entry> result;
    for (std::size_t number = 0; number < count; ++number) {
        result.push_back({.id = job_id("j" + std::to_string(number)), .submittedAt = submittedAt, .tokensLeft = tokens});
    }
    return result;
}

} // namespace

TEST_CASE("job_forecast knows the rate of the slots that online work leaves, once an item is complete")
{
    job_forecast forecast;
    CHECK_FALSE(forecast.tokensPerSecond().has_value());
    forecast.observed(10, 2, start);
    CHECK_FALSE(forecast.tokensPerSecond().has_value());
    forecast.completed(500, 5s);
    CHECK(forecast.tokensPerSecond().value() == Approx(800));
    forecast.observed(10, 10, start + 1h); // Long after, the old slots count no more.
    CHECK(forecast.tokensPerSecond().value() == Approx(0).margin(1));
}

TEST_CASE("job_forecast lets a job that can be in time fill the whole quota")
{
    const std::vector<job_entry> open = jobs(7, 1000, start);
    CHECK(knownForecast().limitFor({.quota = 100000, .tokens = 1000, .window = window, .open = open}, start) == 100000);
}

TEST_CASE("job_forecast keeps room for jobs in time from jobs that will be late")
{
    const std::vector<job_entry> open = jobs(8, 1000, start);
    const job_forecast forecast = knownForecast();
    CHECK(forecast.limitFor({.quota = 12000, .tokens = 1000, .window = window, .open = open}, start) == 4000);
    CHECK(forecast.limitFor({.quota = 100000, .tokens = 1000, .window = window, .open = open}, start) == 50000);
    CHECK(forecast.limitFor({.quota = 5000, .tokens = 1000, .window = window, .open = open}, start) == 0);
}

TEST_CASE("job_forecast does not count jobs that have become late as work before a new one")
{
    const job_forecast forecast = knownForecast();
    std::vector<job_entry> open = jobs(50, 1000, start);
    const time_point later = start + 9s; // One of them can still be in time.
    CHECK(forecast.tokensInTime({.quota = 0, .tokens = 0, .window = window, .open = open}, 1000, later) == 1000);
    CHECK(forecast.limitFor({.quota = 100000, .tokens = 7000, .window = window, .open = open}, later) == 100000);
    CHECK(forecast.limitFor({.quota = 100000, .tokens = 8001, .window = window, .open = open}, later) == 50000);
}

TEST_CASE("job_forecast refuses nothing that fits while the rate is not known")
{
    const std::vector<job_entry> open = jobs(1, 10, start);
    CHECK(job_forecast().limitFor({.quota = 1000, .tokens = 10, .window = window, .open = open}, start) == 1000);
}

TEST_CASE("job_forecast accepts a job that no other waits before, whatever it forecasts")
{
    CHECK(knownForecast().limitFor({.quota = 9000, .tokens = 8500, .window = window, .open = {}}, start) == 9000);
}

TEST_CASE("job_forecast serves the second of two bursts in time though the first one was beyond what can be done")
{
    // The first burst offers 50,000 tokens to a quota of 30,000; 800 a second are finished, late jobs last.
    const job_forecast forecast = knownForecast();
    std::vector<job_entry> open;
    const auto offer = [&](time_point now, std::size_t count) {
        std::size_t accepted = 0;
        for (std::size_t number = 0; number < count; ++number) {
            std::uint64_t waiting = 0;
            for (const job_entry &entry : open) {
                waiting += entry.tokensLeft;
            }
            if (waiting + 1000 <= forecast.limitFor({.quota = 30000, .tokens = 1000, .window = window, .open = open}, now)) {
                open.push_back({.submittedAt = now, .tokensLeft = 1000});
                ++accepted;
            }
        }
        return accepted;
    };
    CHECK(offer(start, 50) == 15);
    open.erase(open.begin(), open.begin() + 8); // Done within 10 s; the others are late now.
    CHECK(offer(start + 10s, 50) == 8);
}
