#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <string>

namespace banyan {

/// The time in UTC as ISO 8601 with microseconds, for example "2026-12-04T03:00:00.000001Z".
[[nodiscard]] std::string toIsoText(time_point time);

/// Microseconds since 1970 in 20 digits: row keys made of it sort by time.
[[nodiscard]] std::string toSortableText(time_point time);

/// Twenty digits with leading zeros: row keys made of it sort by number.
[[nodiscard]] std::string toSortableText(std::uint64_t number);

} // namespace banyan
