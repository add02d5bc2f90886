#include "banyan/core/serving/store_clock.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

TEST_CASE("store_clock gives two processes the same deadline though the clock of one was set forward an hour")
{
    const time_point earlyProcess(100h);
    const time_point lateProcess(101h); // The same moment on the clock that was set forward.
    store_clock early;
    store_clock late;
    early.observe(7s, earlyProcess, earlyProcess);
    late.observe(7s, lateProcess, lateProcess);

    const duration stored = early.toStoreTime(earlyProcess + 20s);

    CHECK(stored == 27s);
    CHECK(late.toLocalTime(stored) == lateProcess + 20s);
}

TEST_CASE("store_clock never converts a stored time to an earlier one, however slow the calls were")
{
    constexpr duration ahead = 5h; // By which the store's clock is ahead of the process's.
    const time_point start(1h);
    store_clock clock;
    for (const auto &[there, back] : {std::pair<duration, duration>(2s, 10ms), {30ms, 3s}, {40ms, 50ms}}) {
        clock.observe(start.time_since_epoch() + ahead + there, start, start + there + back);

        CHECK(clock.toStoreTime(start + 1min) >= (start + 1min).time_since_epoch() + ahead);
        CHECK(clock.toLocalTime(clock.toStoreTime(start + 1min)) >= start + 1min);
    }

    CHECK(clock.toStoreTime(start) == start.time_since_epoch() + ahead + 30ms);
    CHECK(clock.toLocalTime(start.time_since_epoch() + ahead) == start + 10ms);
}
