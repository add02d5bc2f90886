#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace banyan {

/// A keyed digest of an organisation's key. The key itself is kept nowhere.
using key_digest = std::array<std::uint8_t, 32>;

} // namespace banyan
