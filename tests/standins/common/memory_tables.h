#pragma once

#include "banyan/core/serving/table_row.h"
#include "banyan/core/serving/table_transaction.h"
#include "banyan/io/serving/table_store.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyan::standins {

/// Rows and objects in memory, with conditional transactions, one version counter and a history of changes.
class memory_tables
{
public:
    /// Applies a transaction if its conditions hold.
    table_commit commit(const table_transaction &change);

    [[nodiscard]] table_page read(const table_range &range) const;

    /// Changes of a table after a version; historyLost if they are not kept any more.
    [[nodiscard]] table_changes changes(const std::string &table, row_version after) const;

    /// Drops the history up to now.
    void forgetHistory();

    [[nodiscard]] std::optional<table_row> find(const table_key &name) const;

    [[nodiscard]] row_version version() const
    {
        return m_version;
    }

    std::map<std::string, std::string> objects;
    /// The store's clock: goes on steadily, from a start that is nobody else's.
    std::function<duration()> clock = [start = std::chrono::steady_clock::now()] {
        return std::chrono::hours(5) + std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - start);
    };

private:
    std::map<table_key, table_row> m_rows;
    std::vector<table_row> m_history;
    row_version m_version = 0;
    row_version m_forgotten = 0; ///< Changes up to this version are not kept.
};

} // namespace banyan::standins
