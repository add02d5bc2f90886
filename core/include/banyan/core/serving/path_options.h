#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstddef>

namespace banyan {

/// Options of a path_monitor.
struct path_options
{
    duration generalSilence =
        std::chrono::milliseconds(80); ///< Without a byte of any upstream while one is waited for, after which a path is probed.
    duration ownSilence = std::chrono::milliseconds(500); ///< The same of one upstream while others are heard.
    duration probeTime = std::chrono::milliseconds(100); ///< For a probe to open its connection.
    duration stall = std::chrono::milliseconds(30); ///< An attempt that ends so long after its time says nothing: this process stood still.
    duration probeSpacing = std::chrono::milliseconds(500); ///< Between two probes while every path is open.
    duration lostProbeSpacing = std::chrono::milliseconds(200); ///< Between two probes of lost paths, over all.
    duration longestPause = std::chrono::seconds(1); ///< Between two probes of one lost path, at most.
    duration ownPause = std::chrono::seconds(2); ///< Between two probes of one open path while others are heard, at least.
    duration freshness =
        std::chrono::milliseconds(60); ///< Bytes that come within this time after a failure began were on the way before it.
    duration evidenceTime = std::chrono::seconds(2); ///< For which a failure speaks for the other paths of its groups.
    std::size_t corroboration = 2; ///< Failed paths of a group that speak for all of its silent ones.

    auto operator<=>(const path_options &) const = default;
};

} // namespace banyan
