#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// Number that the table service assigns to each commit. A row has the number of the commit that last wrote it; 0: no row.
using row_version = std::uint64_t;

/// Requires a row to have a version or, if the version is 0, to be absent.
struct row_condition
{
    std::string key;
    row_version version = 0;

    auto operator<=>(const row_condition &) const = default;
};

/// Writes a row, or deletes it if there is no value.
struct row_write
{
    std::string key;
    std::optional<std::string> value;

    auto operator<=>(const row_write &) const = default;
};

/// Writes that take effect atomically if all conditions hold.
struct transaction
{
    std::string id; ///< Unique id for logs and audit only; the table service does not detect duplicates by it.
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

/// Answer of the table service to a transaction.
struct commit_result
{
    bool committed = false;
    row_version version = 0; ///< Version of this commit, if committed.
    std::vector<std::string> failedKeys; ///< Keys of rows whose condition did not hold, if not committed.

    auto operator<=>(const commit_result &) const = default;
};

} // namespace banyan
