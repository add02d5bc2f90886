#pragma once

#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// Stored progress of an item of a job, from which another node can resume it.
struct item_checkpoint
{
    std::string item; ///< Id of the item.
    std::uint64_t lastEvent = 0; ///< Id of the last event in the output.
    std::string output; ///< The data of all events so far, joined by line feeds.
    duration ranBefore{}; ///< Time that its runs have spent at upstreams.
    stream_origin origin; ///< What made the output; the service is empty in rows of earlier builds, the version if it is not known.

    auto operator<=>(const item_checkpoint &) const = default;
};

} // namespace banyan
