#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// Encodes @p text as one part of a row key or object name: all characters except letters, digits, '-', '_' and '.' are
/// percent-encoded, so that "/" occurs only as the separator of parts.
[[nodiscard]] std::string keyPart(std::string_view text);

/// Returns an identifier that sorts before those created earlier: @p prefix, then the inverted time and @p random in
/// hexadecimal.
[[nodiscard]] std::string newestFirstId(std::string_view prefix, time_point now, std::uint64_t random);

} // namespace banyan
