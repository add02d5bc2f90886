#pragma once

#include "banyan/core/upstream_status.h"
#include "banyan/core/vm_entry.h"

#include <compare>
#include <optional>

namespace banyan {

/// What a node knows of an upstream, for operators.
struct upstream_listing
{
    vm_entry vm; ///< From the platform's list.
    std::optional<upstream_status> status; ///< As its dispatcher sees it; none where another node dispatches.

    auto operator<=>(const upstream_listing &) const = default;
};

} // namespace banyan
