#pragma once

#include "banyan/core/transaction.h"

#include <compare>
#include <string>

namespace banyan {

/// Names a row of the store: within a table, rows of one part can be changed together.
struct table_key
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const table_key &) const = default;
};

/// A row as it is stored, or as a change that deleted it.
struct table_row
{
    table_key name;
    std::string value;
    row_version version = 0; ///< Of the transaction that wrote it.
    bool deleted = false;

    auto operator<=>(const table_row &) const = default;
};

} // namespace banyan
