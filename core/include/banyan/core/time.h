#pragma once

#include <chrono>

namespace banyan {

/// A duration with microsecond resolution.
using duration = std::chrono::microseconds;

/// A point in time on the clock of the core's host. The core never reads a clock: every function that needs the
/// current time receives it from its caller. Values within a process never decrease.
using time_point = std::chrono::time_point<std::chrono::system_clock, duration>;

} // namespace banyan
