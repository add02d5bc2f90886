#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// The work that one node, or several together, have in flight at an upstream.
struct upstream_usage
{
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    bool degraded = false; ///< A recent attempt failed or was overdue and none has succeeded since, or the upstream is ejected.
    std::uint32_t remainingWork =
        0; ///< Milliseconds that the work in flight is expected to keep the upstream's slots busy, summed over its runs.

    auto operator<=>(const upstream_usage &) const = default;
};

/// Identifies an upstream in messages between nodes: a hash of its id.
using upstream_key = std::uint32_t;

} // namespace banyan
