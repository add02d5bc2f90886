#pragma once

#include "banyan/core/transaction.h"

#include <compare>
#include <string>
#include <vector>

namespace banyan {

/// An atomic change. A group_committer combines several items into one transaction.
struct commit_item
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    bool rejectWhenUnavailable = false; ///< Fail immediately while the store is unavailable instead of waiting.
    std::string addedOwnership; ///< Name of the ownership that the committer's node gains; empty for none. Each name may be used only once.
    std::string removedOwnership; ///< Name of the ownership that the node ends; empty for none.

    auto operator<=>(const commit_item &) const = default;
};

/// Identifies an item submitted to a group_committer.
struct commit_ticket
{
    std::uint64_t value = 0;

    auto operator<=>(const commit_ticket &) const = default;
};

} // namespace banyan
