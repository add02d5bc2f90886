#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// How busy a dispatcher's cell is; sent along with answers and gossip, so always a little old.
struct cell_load
{
    std::uint32_t onlineQueued = 0;
    std::uint32_t onlineInFlight = 0;
    std::uint32_t batchQueued = 0;
    std::uint32_t batchInFlight = 0;
    std::uint32_t slots = 0; ///< Requests that the cell's usable upstreams may hold at once, as the adaptive limits stand.
    duration expectedWait{}; ///< For an online request that arrives now.

    auto operator<=>(const cell_load &) const = default;
};

} // namespace banyan
