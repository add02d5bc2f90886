#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/stream_origin.h"

#include <compare>
#include <vector>

namespace banyan {

/// Asks another node what began streams. It answers with an origin_row of those that it knows, and not at all if it knows none.
struct origin_query
{
    node_id sender;
    std::vector<stream_key> streams;

    auto operator<=>(const origin_query &) const = default;
};

} // namespace banyan
