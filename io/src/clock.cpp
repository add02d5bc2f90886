#include "banyan/io/clock.h"

#include <ctime>

namespace banyan {

namespace {

/// Time since the machine's start. Unlike the steady clock it goes on while the machine is suspended.
duration timeSinceBoot()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace

time_point currentTime()
{
    static const time_point wallStart = std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
    static const duration bootStart = timeSinceBoot();
    return wallStart + (timeSinceBoot() - bootStart);
}

} // namespace banyan
