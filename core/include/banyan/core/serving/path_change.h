#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <string>
#include <vector>

namespace banyan {

/// A change of this node's paths to upstreams, for logs and for the runs that it concerns.
struct path_change
{
    std::vector<upstream_id> upstreams; ///< Whose paths have changed.
    bool isLost = false; ///< Else they are open again.
    bool isOfGroup = false; ///< Decided for a group of upstreams on the evidence of some of them.
    std::string evidence;
    time_point since; ///< With lost paths: runs that have waited since then without a byte hang.

    auto operator<=>(const path_change &) const = default;
};

} // namespace banyan
