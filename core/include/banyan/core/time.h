#pragma once

#include <chrono>

namespace banyan {

/// A span of time with microsecond resolution.
using duration = std::chrono::microseconds;

/// A moment as seen by the host of the core. The core never reads a clock: every function that decides
/// receives the present time from its caller. Values of one process never go backwards.
using time_point = std::chrono::time_point<std::chrono::system_clock, duration>;

} // namespace banyan
