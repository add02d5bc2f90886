#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// Totals of a gossip_node since its start.
struct gossip_counters
{
    std::uint64_t suspicionsRaised = 0; ///< Own probes without an answer.
    std::uint64_t deathsDeclared = 0; ///< Suspicions that were not refuted in time.
    std::uint64_t selfRefutations = 0; ///< Times that this node was suspected wrongly.
    std::uint64_t pausesDetected = 0; ///< Ticks that came too late to judge others by.
    std::uint64_t rejectedPatches = 0; ///< Patches from peers that could not be applied.

    auto operator<=>(const gossip_counters &) const = default;
};

} // namespace banyan
