#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// The load of a cell as its dispatcher reports it with answers and gossip, so that it is always slightly outdated.
struct cell_load
{
    std::uint32_t onlineQueued = 0;
    std::uint32_t onlineInFlight = 0;
    std::uint32_t batchQueued = 0;
    std::uint32_t batchInFlight = 0;
    std::uint32_t slots = 0; ///< Concurrent requests that the cell's usable upstreams may run under the current adaptive limits.
    duration expectedWait{}; ///< Expected queueing delay of an online request that arrives now.

    auto operator<=>(const cell_load &) const = default;
};

} // namespace banyan
