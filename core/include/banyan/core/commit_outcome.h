#pragma once

#include "banyan/core/commit_item.h"
#include "banyan/core/transaction.h"

#include <compare>

namespace banyan {

/// What became of a commit_item.
enum class commit_status {
    Committed,
    Conflict, ///< A condition of the item did not hold; it did not and will not take effect.
    Unavailable, ///< The store is down; the item did not and will not take effect.
    LeaseLost, ///< The lease is another's by now; the item did not and will not take effect.
    Unknown, ///< The lease is another's by now, and whether the item took effect before cannot be told any more.
};

/// The end of an item.
struct commit_outcome
{
    commit_ticket ticket;
    commit_status status = commit_status::Committed;
    row_version version = 0; ///< Of the rows written, if committed; 0 if the lease was lost before it could be learnt.

    auto operator<=>(const commit_outcome &) const = default;
};

} // namespace banyan
