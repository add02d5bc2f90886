#pragma once

#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"

#include <compare>

namespace banyan {

/// The rate limit of one incarnation of an upstream, as a node reports it to others.
struct reported_limit
{
    upstream_key start = 0; ///< The incarnation, by keyOfStart().
    bool ended = false; ///< Whether the last answer named no limit any more.
    double perSecond = 0; ///< The limit, or the last one if it has ended.
    duration age{}; ///< Time since the answer that said so.

    auto operator<=>(const reported_limit &) const = default;
};

} // namespace banyan
