#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// Totals of a fleet_service since its start, for metrics.
struct fleet_counters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0; ///< Of UDP payload.
    std::uint64_t messagesReceived = 0; ///< Accepted ones.
    std::uint64_t bytesReceived = 0;
    std::uint64_t droppedUnauthenticated = 0; ///< Wrong or missing code: not a member of this fleet.
    std::uint64_t droppedMalformed = 0; ///< Authenticated, but not readable or over a limit.
    std::uint64_t suspicionsRaised = 0; ///< Probes of this node that got no answer.
    std::uint64_t deathsDeclared = 0; ///< Suspicions that nobody refuted in time.
    std::uint64_t selfRefutations = 0; ///< Times that others suspected this node wrongly.

    auto operator<=>(const fleet_counters &) const = default;
};

} // namespace banyan
