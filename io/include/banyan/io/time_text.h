#pragma once

#include "banyan/core/time.h"

#include <string>

namespace banyan {

/// A moment in ISO 8601 and UTC with microseconds, for example "2026-12-04T03:00:00.000001Z".
[[nodiscard]] std::string timeText(time_point time);

} // namespace banyan
