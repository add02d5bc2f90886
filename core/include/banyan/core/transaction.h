#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// Number that the table service gives to each commit; a row carries that of the commit that wrote it last. 0: no row.
using row_version = std::uint64_t;

/// Requires a row to be at a version, or with 0 to be absent.
struct row_condition
{
    std::string key;
    row_version version = 0;

    auto operator<=>(const row_condition &) const = default;
};

/// Sets a row, or with no value deletes it.
struct row_write
{
    std::string key;
    std::optional<std::string> value;

    auto operator<=>(const row_write &) const = default;
};

/// Writes that take effect together, if all conditions hold, or not at all.
struct transaction
{
    std::string id; ///< Unique; only for logs and audit. The table service does not compare it.
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;

    auto operator<=>(const transaction &) const = default;
};

/// A row of the table service.
struct row
{
    std::string key;
    std::string value;
    row_version version = 0;

    auto operator<=>(const row &) const = default;
};

/// What the table service answered to a transaction.
struct commit_result
{
    bool committed = false;
    row_version version = 0; ///< Of this commit, if committed.
    std::vector<std::string> failedKeys; ///< Rows whose condition did not hold, if not.

    auto operator<=>(const commit_result &) const = default;
};

} // namespace banyan
