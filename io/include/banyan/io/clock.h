#pragma once

#include "banyan/core/time.h"

namespace banyan {

/// The present time for the core: wall-clock time at the process's start plus the time since, suspensions included, so that it
/// never goes backwards.
[[nodiscard]] time_point currentTime();

} // namespace banyan
