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

/// Rows in key order, as of one moment.
struct table_page
{
    std::vector<table_row> rows;
    bool more = false; ///< Rows follow the last one.
    row_version version = 0; ///< The newest of the store at that moment; changes after it can be followed.
    duration storeTime{}; ///< That moment by the store's clock, which only goes forward.
};

/// Which rows of a part to read.
struct table_range
{
    std::string table;
    std::string part;
    std::string from; ///< First key; empty for the beginning.
    std::string to; ///< Key behind the last one; empty for the end.
    std::size_t limit = 500;
};

/// Changes of a table, in order.
struct table_changes
{
    std::vector<table_row> rows;
    row_version version = 0; ///< Where to go on.
    bool historyLost = false; ///< Changes since the version asked for are not kept any more: read the table again.
};

/// The platform's store, supplied by its adapter; tests put a fake in its place. Reads throw platform_unavailable. Changes
/// throw it only if nothing was changed and nothing will be, else platform_outcome_unknown.
struct table_store
{
    std::function<task<table_commit>(table_transaction change)> commit;
    std::function<task<table_page>(table_range range)> read;
    /// Waits up to @p wait for a change after @p after.
    std::function<task<table_changes>(std::string table, row_version after, duration wait)> changes;
    std::function<task<>(std::string name, std::string bytes)> putObject; ///< Keeps an object that is there already.
    std::function<task<std::optional<std::string>>(std::string name)> getObject;
    std::function<task<>(std::string name)> dropObject;
};

} // namespace banyan
