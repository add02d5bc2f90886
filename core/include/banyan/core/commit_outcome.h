#pragma once

#include "banyan/core/commit_item.h"
#include "banyan/core/transaction.h"

#include <compare>

namespace banyan {

/// Final status of a commit_item.
enum class commit_status {
    Committed,
    Conflict, ///< A condition of the item did not hold; it did not and will not take effect.
    Unavailable, ///< The store is unavailable; the item did not and will not take effect.
    LeaseLost, ///< Another holder has the lease; the item did not and will not take effect.
    Unknown, ///< Another holder has the lease; whether the item took effect before the takeover can no longer be determined.
};

/// Outcome of an item.
struct commit_outcome
{
    commit_ticket ticket;
    commit_status status = commit_status::Committed;
    row_version version = 0; ///< Version of the rows written, if committed; 0 if the lease was lost before the version became known.

    auto operator<=>(const commit_outcome &) const = default;
};

} // namespace banyan
