#pragma once

#include "banyan/core/serving/item_checkpoint.h"
#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/job_item.h"
#include "banyan/core/serving/listed_result.h"
#include "banyan/core/serving/store_clock.h"
#include "banyan/io/serving/table_store.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// How jobs lie in the store: their rows, objects and keys. Times are stored as the store's, and given as this process's.
/// Errors are those of the table_store.
class job_records
{
public:
    explicit job_records(table_store store);

    /// The table with one row for each job, and its parts.
    static const std::string &table();
    static const std::vector<std::string> &parts();

    /// The store, for readers of rows that entryOf is to be asked about.
    [[nodiscard]] const table_store &store() const
    {
        return m_store;
    }

    /// The store's time, as the calls of store() tell it.
    [[nodiscard]] const store_clock &clock() const
    {
        return *m_clock;
    }

    /// The entry in a row that was read by store(); none if the row cannot be read.
    [[nodiscard]] std::optional<job_entry> entryOf(const table_row &row) const;

    /// Records a new job. Returns its version, or nothing if there is one of that id.
    [[nodiscard]] task<std::optional<row_version>> create(job_entry entry, std::vector<job_item> items);

    /// Writes an entry if its row is still at the entry's version. Returns the new version, or nothing.
    [[nodiscard]] task<std::optional<row_version>> update(job_entry entry);

    /// Results of a job, to be recorded together.
    struct result_batch
    {
        std::uint32_t first = 0; ///< Position of the first one.
        std::vector<listed_result> results;
        bool entryChanged = false; ///< The entry is written as well.
        std::vector<std::string> checkpointedItems; ///< Items of which a checkpoint is stored, which is not needed any more.
    };

    /// Records results, if the job's row is still at the entry's version, and the entry if the batch says so. Returns the
    /// transaction's version, or nothing.
    [[nodiscard]] task<std::optional<row_version>> recordResults(job_entry entry, result_batch batch);

    /// Stores how far items have come, if the job's row is still at the entry's version, and writes the entry if
    /// @p entryChanged. What is too long for a row or the transaction is left out. Returns what was stored, or nothing if the
    /// row has changed.
    [[nodiscard]] task<std::optional<std::vector<item_checkpoint>>>
    saveCheckpoints(job_entry entry, bool entryChanged, std::vector<item_checkpoint> checkpoints);

    /// What is stored of how far the job's items have come.
    [[nodiscard]] task<std::vector<item_checkpoint>> checkpoints(job_id id);

    [[nodiscard]] task<std::optional<job_entry>> find(job_id id);

    /// The job's items. @throws platform_unavailable also if they cannot be read
    [[nodiscard]] task<std::vector<job_item>> items(job_entry entry);

    /// Results from position @p first on, up to about a megabyte.
    [[nodiscard]] task<std::vector<listed_result>> results(job_id id, std::uint32_t first);

    /// Removes all that is stored of a job.
    [[nodiscard]] task<> remove(job_entry entry);

private:
    [[nodiscard]] task<> removeRows(std::string table, job_id id);
    [[nodiscard]] table_write writeOf(const job_entry &entry) const;

    std::shared_ptr<store_clock> m_clock; ///< Set by the calls of m_store.
    table_store m_store;
};

} // namespace banyan
