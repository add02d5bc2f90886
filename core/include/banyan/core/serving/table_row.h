#pragma once

#include "banyan/core/transaction.h"

#include <compare>
#include <string>

namespace banyan {

/// Identifies a row of the store. Rows of one part of a table can be changed in one transaction.
struct table_key
{
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const table_key &) const = default;
};

/// A stored row, or the change that deleted it.
struct table_row
{
    table_key name;
    std::string value;
    row_version version = 0; ///< Version of the transaction that wrote the row.
    bool deleted = false;

    auto operator<=>(const table_row &) const = default;
};

} // namespace banyan
