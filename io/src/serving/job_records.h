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

/// Reads and writes jobs in the store, and defines their rows, objects and keys. Times are stored by the clock of the store and
/// converted to and from the clock of this process. Throws the exceptions of table_store.
class job_records
{
public:
    explicit job_records(table_store store);

    /// The table that has one row for each job, and its parts.
    static const std::string &table();
    static const std::vector<std::string> &parts();

    /// The store; rows passed to entryOf() must be read through it, since its reads set clock().
    [[nodiscard]] const table_store &store() const
    {
        return m_store;
    }

    /// The clock of the store, as observed in the answers to store()'s reads.
    [[nodiscard]] const store_clock &clock() const
    {
        return *m_clock;
    }

    /// Decodes the entry in a row that was read through store(); none if the row is malformed.
    [[nodiscard]] std::optional<job_entry> entryOf(const table_row &row) const;

    /// Records a new job. Returns its version, or nothing if a job of that id exists.
    [[nodiscard]] task<std::optional<row_version>> create(job_entry entry, std::vector<job_item> items);

    /// Writes an entry if its row still has the entry's version. Returns the new version, or nothing if the row has changed.
    [[nodiscard]] task<std::optional<row_version>> update(job_entry entry);

    /// Results of a job that are recorded in one transaction.
    struct result_batch
    {
        std::uint32_t first = 0; ///< Position of the first result.
        std::vector<listed_result> results;
        bool entryChanged = false; ///< Whether the entry is written as well.
        std::vector<std::string> checkpointedItems; ///< Items whose stored checkpoints are removed, since their results replace them.
    };

    /// Records results if the job's row still has the entry's version, and the entry if the batch says so. Returns the version of
    /// the transaction, or nothing if the row has changed.
    [[nodiscard]] task<std::optional<row_version>> recordResults(job_entry entry, result_batch batch);

    /// Stores checkpoints if the job's row still has the entry's version, and writes the entry if @p entryChanged. Omits
    /// checkpoints that do not fit into a row or the transaction. Returns the stored ones, or nothing if the row has changed.
    [[nodiscard]] task<std::optional<std::vector<item_checkpoint>>>
    saveCheckpoints(job_entry entry, bool entryChanged, std::vector<item_checkpoint> checkpoints);

    /// Returns the stored checkpoints of the job's items.
    [[nodiscard]] task<std::vector<item_checkpoint>> checkpoints(job_id id);

    [[nodiscard]] task<std::optional<job_entry>> find(job_id id);

    /// Returns the job's items. @throws platform_unavailable also if they are missing or malformed
    [[nodiscard]] task<std::vector<job_item>> items(job_entry entry);

    /// Returns the results from position @p first onwards, up to about a megabyte.
    [[nodiscard]] task<std::vector<listed_result>> results(job_id id, std::uint32_t first);

    /// Removes everything that is stored for a job.
    [[nodiscard]] task<> remove(job_entry entry);

private:
    [[nodiscard]] task<> removeRows(std::string table, job_id id);
    [[nodiscard]] table_write writeOf(const job_entry &entry) const;

    std::shared_ptr<store_clock> m_clock; ///< Set by each read of m_store.
    table_store m_store;
};

} // namespace banyan
