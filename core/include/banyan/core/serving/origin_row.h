#pragma once

#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace banyan {

/// Streams that one node has seen begin: those of about a second as stored, or those that another node has asked for.
struct origin_row
{
    duration writtenAt{}; ///< By the store's clock.
    std::uint64_t sequence = 0; ///< Increases with each row of its writer.
    std::vector<std::pair<stream_key, stream_origin>> streams; ///< In order; a later entry of the same stream replaces an earlier one.

    auto operator<=>(const origin_row &) const = default;
};

} // namespace banyan
