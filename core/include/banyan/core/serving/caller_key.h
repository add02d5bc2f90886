#pragma once

#include "banyan/core/identifier.h"

#include <cstdint>

namespace banyan {

/// Identifies in messages between nodes whose share of the upstreams a request uses: a hash of the organisation's name or, where
/// the configuration has no organisations, of what the requests of one caller have in common. 0 if that is not known.
using caller_key = std::uint64_t;

/// The key of an organisation; 0 for an empty name.
[[nodiscard]] caller_key callerKeyOf(const caller_id &organisation);

} // namespace banyan
