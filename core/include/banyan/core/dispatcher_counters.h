#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// Counters of a dispatcher since its construction, for metrics. They never decrease.
struct dispatcher_counters
{
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0; ///< Attempts started after a failed one.
    std::uint64_t hedges = 0;
    std::uint64_t hedgesChosen = 0; ///< Hedges whose answer was forwarded to the caller.
    std::uint64_t preempted = 0; ///< Batch attempts cancelled for online work.
    std::uint64_t preemptedResumable = 0; ///< Preempted attempts whose stream the engine can resume.
    std::uint64_t ejections = 0; ///< Ejections of upstreams for slowness or failures.
    std::uint64_t contentsQuarantined = 0; ///< Contents quarantined because they crash upstreams.
    std::uint64_t retriesDenied = 0; ///< Requests ended or delayed because the retry budget was exhausted.

    auto operator<=>(const dispatcher_counters &) const = default;
};

} // namespace banyan
