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

/// What the host of a group_committer has to ask of the table service.
using store_call = std::variant<commit_call, read_call>;

/// How a commit without an answer can have ended.
enum class commit_failure {
    Unavailable, ///< For sure nothing was changed.
    OutcomeUnknown, ///< It may have taken effect, or may still do so.
};

} // namespace banyan
