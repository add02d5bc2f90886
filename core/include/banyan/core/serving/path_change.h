#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <string>
#include <vector>

namespace banyan {

/// A change of this node's paths to upstreams, for logs and for the runs that it concerns.
struct path_change
{
    std::vector<upstream_id> upstreams; ///< Whose paths have changed.
    bool isLost = false; ///< Else they are open again.
    bool isOfGroup = false; ///< Decided for a group of upstreams on the evidence of some of them. Lost, none of them is heard.
    std::string evidence;

    auto operator<=>(const path_change &) const = default;
};

} // namespace banyan
