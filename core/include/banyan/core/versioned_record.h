#pragma once

#include "banyan/core/record_row.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <string>

namespace banyan {

/// A record as read from the table service.
struct versioned_record
{
    std::string key;
    record_row record;
    row_version version = 0; ///< Row version; each change of the record is conditional on it.

    auto operator<=>(const versioned_record &) const = default;
};

} // namespace banyan
