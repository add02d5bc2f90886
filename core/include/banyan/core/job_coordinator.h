#pragma once

#include "banyan/core/item_end.h"
#include "banyan/core/job_action.h"
#include "banyan/core/job_coordinator_options.h"
#include "banyan/core/job_record.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace banyan {

/// Coordinates the items of one batch job, from the time this node claims it until the job ends or is released.
///
/// The host reports events through the member functions; each returns the actions that the host has to perform, in
/// order. The host calls tick() at the time that nextWakeUp() returns.
///
/// @code
/// job_coordinator coordinator(record, version, {}, now);   // a record whose owner is this node's lease
/// perform(coordinator.start(now));
/// perform(coordinator.chunkLoaded(0, now));                // after load_chunk
/// perform(coordinator.itemEnded(0, {.outcome = item_outcome::Answered, .bytes = 120}, now));
/// @endcode
///
/// Guarantees, as long as the store enforces the conditions of commits:
/// - Each item gets exactly one committed result, which never changes.
/// - An item that is not repeatable is run only after its start is committed, and never by a later coordinator.
/// - Memory use is bounded by the options, not by the size of the job.
/// - An item that fails or ends late delays neither the commits of other items nor the end of the job beyond its
///   deadline.
class job_coordinator
{
public:
    /// Starts from the job's row as read at @p version; this node has to own the row.
    job_coordinator(job_record record, row_version version, const job_coordinator_options &options, time_point now);

    /// Returns the first actions; called once, before any other event.
    [[nodiscard]] job_actions start(time_point now);

    /// Reports that a chunk was read. If it is no longer needed, the answer is release_chunk.
    [[nodiscard]] job_actions chunkLoaded(std::size_t chunk, time_point now);
    /// Reports that the store did not answer; the load is retried. @see chunkMissing()
    [[nodiscard]] job_actions chunkUnavailable(std::size_t chunk, time_point now);
    /// Reports that the chunk's object does not exist; its items end with errors.
    [[nodiscard]] job_actions chunkMissing(std::size_t chunk, time_point now);

    /// Reports that the item is not repeatable, so that its start has to be committed before it runs.
    [[nodiscard]] job_actions startNeeded(std::uint32_t item, time_point now);
    /// Reports the end of a run. Ignored if the item is not in flight.
    [[nodiscard]] job_actions itemEnded(std::uint32_t item, const item_end &end, time_point now);

    /// Reports that store_results succeeded.
    [[nodiscard]] job_actions resultsStored(time_point now);
    /// Reports that commit_progress succeeded; @p version is the row's new version.
    [[nodiscard]] job_actions committed(row_version version, time_point now);
    /// Reports that a condition of the commit did not hold.
    [[nodiscard]] job_actions commitRejected(time_point now);
    /// Reports that the answer to the commit was lost: the commit may have taken effect or may still do so.
    [[nodiscard]] job_actions commitUnknown(time_point now);
    /// Reports the job's row as read; none if it does not exist any more.
    [[nodiscard]] job_actions jobRead(std::optional<job_record> record, row_version version, time_point now);
    /// Reports that the store did not answer store_results or read_job, or that commit_progress certainly had no effect.
    [[nodiscard]] job_actions storeUnavailable(time_point now);

    /// Reports that a cancel of this job may have been committed; the row is read to confirm it.
    [[nodiscard]] job_actions cancelRequested(time_point now);
    /// Sets whether this node holds its lease. Without the lease no item is started. When the lease is held again, the
    /// job's row is read first, since another coordinator may have taken the job over.
    [[nodiscard]] job_actions setLeaseHeld(bool held, time_point now);
    /// Releases the job to other coordinators once the items in flight have ended and their results are committed.
    [[nodiscard]] job_actions release(time_point now);

    /// Performs the work that is due at @p now.
    [[nodiscard]] job_actions tick(time_point now);
    /// The time of the next tick() call; none if no tick is needed.
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;

    /// The last committed state of the job that this coordinator knows.
    [[nodiscard]] const job_record &record() const
    {
        return m_record;
    }

    [[nodiscard]] const job_id &id() const
    {
        return m_record.id;
    }

    /// Number of items whose input lines the host keeps in memory.
    [[nodiscard]] std::size_t heldItems() const
    {
        return m_heldItems.size();
    }
    /// Number of results that are not committed yet.
    [[nodiscard]] std::size_t bufferedResults() const
    {
        return m_uncommitted.size();
    }
    /// Number of chunks that are loaded, being loaded or known to be missing.
    [[nodiscard]] std::size_t loadedChunks() const
    {
        return m_chunks.size();
    }

private:
    enum class item_phase {
        InFlight,
        NeedsStart, ///< Its start will be part of the next commit.
        StartPending, ///< Its start is part of the commit in progress.
        Waiting, ///< Waits for its next try.
    };

    struct held_item
    {
        item_phase phase = item_phase::InFlight;
        std::uint32_t tries = 0; ///< Runs that ended as item_outcome::NotRun.
        std::uint32_t lostRuns = 0; ///< Runs that ended as item_outcome::Lost.
    };

    struct finished_item
    {
        std::uint32_t item = 0;
        std::size_t bytes = 0;
        bool error = false;
    };

    struct due_item
    {
        time_point due;
        std::uint32_t item = 0;

        auto operator<=>(const due_item &) const = default;
    };

    enum class chunk_state {
        Loading,
        Loaded,
        Missing,
    };

    enum class store_phase {
        Idle,
        Storing, ///< store_results was requested and is not answered yet.
        Committing, ///< commit_progress was requested and is not answered yet.
        Reading, ///< read_job was requested and is not answered yet.
        Ended,
    };

    /// The changes that the commit in progress makes to the row.
    struct pending_change
    {
        std::vector<finished_item> items;
        std::optional<job_segment> segment;
        std::vector<std::uint32_t> starts;
    };

    job_actions advance(time_point now);

    // Items.
    void handleDeadline(job_actions &actions, time_point now);
    void runDueItems(job_actions &actions, time_point now);
    void startItems(job_actions &actions, time_point now);
    void startItem(job_actions &actions, std::uint32_t item, chunk_state state, time_point now);
    void failItem(job_actions &actions, std::uint32_t item, item_failure reason);
    void requeueItem(job_actions &actions, std::uint32_t item);
    void finish(std::uint32_t item, const item_end &end, time_point now);
    void retry(job_actions &actions, std::uint32_t item, const item_end &end, time_point now);
    [[nodiscard]] bool acceptsItems() const;
    [[nodiscard]] bool mayStartNonRepeatable() const;
    [[nodiscard]] bool mayRunItems() const;
    [[nodiscard]] bool mayStart() const;
    [[nodiscard]] bool lostRunRetryAllowed(const held_item &held) const;
    [[nodiscard]] duration retryDelay(const held_item &held, const item_end &end);
    [[nodiscard]] std::optional<std::uint32_t> nextItem(time_point now);

    // Chunks.
    [[nodiscard]] std::size_t chunkOf(std::uint32_t item) const;
    void loadChunk(job_actions &actions, std::size_t chunk);
    void releaseChunks(job_actions &actions, std::size_t from, std::size_t to);
    void prefetchChunk(job_actions &actions, std::uint32_t item, std::size_t chunk);

    // The job's row.
    void advanceStore(job_actions &actions, time_point now);
    void repeatStoreCall(job_actions &actions, time_point now);
    [[nodiscard]] bool commitDue(time_point now) const;
    void beginCommit(job_actions &actions, time_point now);
    void sendResults(job_actions &actions);
    void sendCommit(job_actions &actions, time_point now);
    void sendRead(job_actions &actions);
    [[nodiscard]] job_record nextRecord(time_point now) const;
    void applyCommitted(job_actions &actions, time_point now);
    [[nodiscard]] bool changeApplied() const;
    void endIfFinal(job_actions &actions);
    void end(job_actions &actions, coordination_outcome outcome);
    void beginCancel(job_actions &actions, time_point now);
    [[nodiscard]] bool cancelling() const;
    [[nodiscard]] bool allDone() const;
    [[nodiscard]] bool coordinationComplete(time_point now) const;
    [[nodiscard]] job_state finalStatus() const;

    job_coordinator_options m_options;
    job_record m_record;
    row_version m_version = 0;
    std::vector<std::uint32_t> m_firstItems; ///< Index of the first item of each chunk.

    std::map<std::uint32_t, held_item> m_heldItems;
    std::size_t m_activeItems = 0; ///< Number of items in m_heldItems that are not in item_phase::Waiting.
    std::set<due_item> m_waiting;
    std::set<std::uint32_t> m_committedStarts; ///< Items whose start, but not yet their result, this coordinator committed.
    /// Items that are not repeatable and are about to start, in flight, waiting, or finished without a committed
    /// result.
    std::set<std::uint32_t> m_activeNonRepeatable;
    std::vector<std::uint32_t> m_startsToCommit;
    bool m_nonRepeatableFinished = false; ///< Whether an item in m_finished is not repeatable.
    time_point m_lastStartCommit;
    std::uint64_t m_retriedLostRuns = 0; ///< Lost runs after which the item was retried.
    std::uint64_t m_finishedCount = 0;
    bool m_deadlinePassed = false;
    bool m_anyExpired = false;

    std::map<std::size_t, chunk_state> m_chunks;
    std::optional<time_point> m_chunkRetryAt;
    std::uint32_t m_nextCandidate = 0; ///< The item at which the search for the next item to start continues.
    std::optional<time_point> m_nextScan; ///< When the search begins again at the first item, for requeued items.

    std::vector<finished_item> m_finished; ///< Items whose results are not part of a commit yet.
    std::size_t m_finishedBytes = 0;
    std::optional<time_point> m_oldestFinished;
    std::set<std::uint32_t> m_uncommitted; ///< Items in m_finished and m_pending.
    std::size_t m_uncommittedBytes = 0;

    store_phase m_storePhase = store_phase::Idle;
    std::optional<time_point> m_storeRetryAt; ///< When the failed store call of m_storePhase is repeated; none if it has not failed.
    duration m_storeDelay{}; ///< Delay before the next repetition of a failed store call.
    std::optional<pending_change> m_pending;
    bool m_resultsStored = false; ///< Whether the results of m_pending are stored, or it has none.
    job_record m_sentRecord; ///< The record in the last commit_progress.
    std::uint32_t m_nextSequence = 0; ///< Sequence number of the next result segment.
    bool m_rereadNeeded = false; ///< The job's row has to be read before any item is started.
    bool m_leaseHeld = true;
    bool m_releasing = false;
    std::optional<time_point> m_cancelGraceEnd; ///< When a cancelled job ends even if items are still in flight.
    std::minstd_rand m_random;
};

} // namespace banyan
