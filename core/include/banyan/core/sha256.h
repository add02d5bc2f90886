#pragma once

#include <string>
#include <string_view>

namespace banyan {

/// The SHA-256 of @p text in lower-case hexadecimal; the form of key hashes in the configuration.
[[nodiscard]] std::string sha256Hex(std::string_view text);

} // namespace banyan
