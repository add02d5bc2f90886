#pragma once

#include "banyan/core/serving/table_row.h"

#include <compare>
#include <string>
#include <vector>

namespace banyan {

/// Requires a row to have the given version, or to be absent if the version is 0.
struct table_condition
{
    table_key name;
    row_version version = 0;

    auto operator<=>(const table_condition &) const = default;
};

/// Sets the value of a row.
struct table_write
{
    table_key name;
    std::string value;

    auto operator<=>(const table_write &) const = default;
};

/// Changes to rows of one part that take effect atomically, on condition that all conditions hold.
struct table_transaction
{
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
    std::vector<table_key> removals;

    auto operator<=>(const table_transaction &) const = default;
};

/// The store's answer to a transaction.
struct table_commit
{
    bool committed = false; ///< False if a condition did not hold, in which case nothing was changed.
    row_version version = 0; ///< Version of the transaction, if committed.

    auto operator<=>(const table_commit &) const = default;
};

} // namespace banyan
