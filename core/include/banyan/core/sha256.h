#pragma once

#include <string>
#include <string_view>

namespace banyan {

/// The SHA-256 hash of @p text in lower-case hexadecimal, as used for key hashes in the configuration.
[[nodiscard]] std::string sha256Hex(std::string_view text);

} // namespace banyan
