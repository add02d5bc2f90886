#pragma once

#include "banyan/core/serving/upstream_usage.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// A prompt part of a run that was lost with its upstream before it had begun to answer, as reported to the other nodes.
struct part_loss
{
    std::uint64_t part = 0; ///< Hash of the part's id.
    std::uint64_t content = 0; ///< Hash of the request's content, which tells requests apart.
    upstream_key upstream = 0;

    auto operator<=>(const part_loss &) const = default;
};

} // namespace banyan
