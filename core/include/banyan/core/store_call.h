#pragma once

#include "banyan/core/transaction.h"

#include <compare>
#include <string>
#include <variant>

namespace banyan {

/// Commit a transaction.
struct commit_call
{
    transaction change;

    auto operator<=>(const commit_call &) const = default;
};

/// Read one row.
struct read_call
{
    std::string key;

    auto operator<=>(const read_call &) const = default;
};

/// Call to the table service that the host of a group_committer has to execute.
using store_call = std::variant<commit_call, read_call>;

/// Possible effect of a commit that got no answer.
enum class commit_failure {
    Unavailable, ///< The commit certainly had no effect.
    OutcomeUnknown, ///< The commit may have taken effect, or may still do so.
};

} // namespace banyan
