#include "banyan/io/clock.h"

namespace banyan {

time_point currentTime()
{
    static const time_point wallStart = std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
    static const auto steadyStart = std::chrono::steady_clock::now();
    return wallStart + std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - steadyStart);
}

} // namespace banyan
