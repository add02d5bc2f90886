#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// @p text as one part of a row key or object name: everything but letters, digits, '-', '_' and '.' is
/// percent-encoded, so that "/" only ever separates parts.
[[nodiscard]] std::string keyPart(std::string_view text);

/// An identifier that sorts before those made earlier: @p prefix, the inverted time and @p random, in hexadecimal.
[[nodiscard]] std::string newestFirstId(std::string_view prefix, time_point now, std::uint64_t random);

} // namespace banyan
