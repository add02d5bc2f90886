#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// What a dispatcher has done since it was made; for metrics. Only grows.
struct dispatcher_counters
{
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0; ///< Attempts after a failed one.
    std::uint64_t hedges = 0;
    std::uint64_t hedgesChosen = 0; ///< Hedges whose answer was taken.
    std::uint64_t preempted = 0; ///< Batch attempts cancelled for online work.
    std::uint64_t preemptedResumable = 0; ///< Those of them that the engine can continue.
    std::uint64_t ejections = 0; ///< Upstreams taken out for slowness or failures.
    std::uint64_t contentsQuarantined = 0; ///< Contents stopped because they crash upstreams.
    std::uint64_t retriesDenied = 0; ///< Requests ended or held back because the retry budget was used up.

    auto operator<=>(const dispatcher_counters &) const = default;
};

} // namespace banyan
