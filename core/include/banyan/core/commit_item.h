#pragma once

#include "banyan/core/transaction.h"

#include <compare>
#include <string>
#include <vector>

namespace banyan {

/// A change that takes effect whole or not at all; a group_committer packs several into one transaction.
struct commit_item
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    bool rejectWhenUnavailable = false; ///< Fail at once while the store is down, rather than wait for it.
    std::string ownedKey; ///< What the committer's node owns from now on; empty for none. Use each name once.
    std::string disownedKey; ///< What it owns no more; empty for none.

    auto operator<=>(const commit_item &) const = default;
};

/// Names an item given to a group_committer.
struct commit_ticket
{
    std::uint64_t value = 0;

    auto operator<=>(const commit_ticket &) const = default;
};

} // namespace banyan
