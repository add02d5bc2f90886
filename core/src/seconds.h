#pragma once

#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// A duration in seconds, for averages and rates.
[[nodiscard]] inline double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// A duration of so many seconds, cut to whole microseconds.
[[nodiscard]] inline duration fromSeconds(double seconds)
{
    return duration(static_cast<std::int64_t>(seconds * 1e6));
}

} // namespace banyan
