#pragma once

#include "banyan/core/serving/table_row.h"

#include <compare>
#include <string>
#include <vector>

namespace banyan {

/// Requires a row to be at a version, or with 0 to be absent.
struct table_condition
{
    table_key name;
    row_version version = 0;

    auto operator<=>(const table_condition &) const = default;
};

/// Sets a row.
struct table_write
{
    table_key name;
    std::string value;

    auto operator<=>(const table_write &) const = default;
};

/// Changes to rows of one part that take effect together, if all conditions hold, or not at all.
struct table_transaction
{
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
    std::vector<table_key> removals;

    auto operator<=>(const table_transaction &) const = default;
};

/// What the store answered to a transaction.
struct table_commit
{
    bool committed = false; ///< False: a condition did not hold, and nothing was changed.
    row_version version = 0; ///< Of the transaction, if committed.

    auto operator<=>(const table_commit &) const = default;
};

} // namespace banyan
