#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// Counters of a gossip_node since it was constructed.
struct gossip_counters
{
    std::uint64_t suspicionsRaised = 0; ///< Probes by this node that were not acknowledged.
    std::uint64_t deathsDeclared = 0; ///< Suspicions that were not refuted before the timeout.
    std::uint64_t selfRefutations = 0; ///< Times that this node refuted a suspicion of itself.
    std::uint64_t pausesDetected = 0; ///< Ticks so late that missing answers were not counted against other nodes.
    std::uint64_t rejectedPatches = 0; ///< Configuration patches from peers that could not be applied.

    auto operator<=>(const gossip_counters &) const = default;
};

} // namespace banyan
