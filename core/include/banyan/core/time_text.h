#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <string>

namespace banyan {

/// Formats the time in UTC as ISO 8601 with microseconds, for example "2026-12-04T03:00:00.000001Z".
[[nodiscard]] std::string toIsoText(time_point time);

/// Formats microseconds since 1970 with 20 digits, so that row keys that contain it sort by time.
[[nodiscard]] std::string toSortableText(time_point time);

/// Formats @p number with 20 digits and leading zeros, so that row keys that contain it sort by number.
[[nodiscard]] std::string toSortableText(std::uint64_t number);

} // namespace banyan
