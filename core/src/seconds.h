#pragma once

#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// Converts a duration to seconds, for averages and rates.
[[nodiscard]] inline double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Converts seconds to a duration, truncated to whole microseconds.
[[nodiscard]] inline duration fromSeconds(double seconds)
{
    return duration(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace banyan
