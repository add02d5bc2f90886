#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// What one node, or several together, have in flight at an upstream.
struct upstream_usage
{
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    bool degraded = false; ///< An attempt there failed or was overdue lately, and none has succeeded since.

    auto operator<=>(const upstream_usage &) const = default;
};

/// A short name for an upstream between nodes: a hash of its id.
using upstream_key = std::uint32_t;

} // namespace banyan
