#pragma once

#include "banyan/core/serving/table_row.h"
#include "banyan/core/serving/table_transaction.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// Rows in key order, read at one point in time.
struct table_page
{
    std::vector<table_row> rows;
    bool more = false; ///< Whether rows follow the last one.
    row_version version = 0; ///< Newest version of the store at that time; changes after it can be followed.
    duration storeTime{}; ///< That time by the store's clock, which is monotonic.
};

/// Which rows of a part to read.
struct table_range
{
    std::string table;
    std::string part;
    std::string from; ///< First key; empty for the start of the part.
    std::string to; ///< Key after the last one; empty for the end of the part.
    std::size_t limit = 500;
};

/// Changes of a table, in order.
struct table_changes
{
    std::vector<table_row> rows;
    row_version version = 0; ///< Version after which the next call continues.
    bool historyLost = false; ///< The store no longer keeps the changes since the requested version; read the table again.
};

/// The platform's store, supplied by its adapter; tests replace it by a fake. Failed reads throw platform_unavailable. Failed
/// writes throw it only if nothing was changed and nothing will be, and platform_outcome_unknown otherwise.
struct table_store
{
    std::function<task<table_commit>(table_transaction change)> commit;
    std::function<task<table_page>(table_range range)> read;
    /// Returns the changes after version @p after; waits up to @p wait for the first one.
    std::function<task<table_changes>(std::string table, row_version after, duration wait)> changes;
    std::function<task<>(std::string name, std::string bytes)> putObject; ///< Does not overwrite an existing object.
    std::function<task<std::optional<std::string>>(std::string name)> getObject;
    std::function<task<>(std::string name)> dropObject;
};

} // namespace banyan
