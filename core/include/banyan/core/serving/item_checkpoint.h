#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// How far an item of a job has come, as it is stored, so that another node can go on from there.
struct item_checkpoint
{
    std::string item; ///< Its id.
    std::uint64_t lastEvent = 0; ///< Id of the last event in the output.
    std::string output; ///< The data of all events so far, joined by line feeds.
    duration ranBefore{}; ///< Time that its runs have spent at upstreams.

    auto operator<=>(const item_checkpoint &) const = default;
};

} // namespace banyan
