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

/// Decides what happens to the items of one batch job, from its claim by this node to its end.
///
/// Events go in by the member functions; each returns the actions that the host has to carry out, in order. The host
/// calls tick() at nextWakeUp().
///
/// @code
/// job_coordinator coordinator(record, version, {}, now);   // a record whose owner is this node's lease
/// perform(coordinator.start(now));
/// perform(coordinator.chunkLoaded(0, now));                // after load_chunk
/// perform(coordinator.itemEnded(0, {.outcome = item_outcome::Answered, .bytes = 120}, now));
/// @endcode
///
/// Promises, as long as the store keeps its conditions: each item gets exactly one committed result, and it never
/// changes; an item not to be repeated is run only after its start is committed, and never by a later coordinator;
/// what is held in memory follows the options and not the job's size; an item that ends badly or late holds up neither
/// the commits of the others nor the job's end beyond its deadline.
class job_coordinator
{
public:
    /// Takes over the job as it stands in its row at @p version, which this node owns.
    job_coordinator(job_record record, row_version version, const job_coordinator_options &options, time_point now);

    [[nodiscard]] job_actions start(time_point now);

    [[nodiscard]] job_actions chunkLoaded(std::size_t chunk, time_point now);
    /// The store does not answer. @see chunkMissing()
    [[nodiscard]] job_actions chunkUnavailable(std::size_t chunk, time_point now);
    /// There is no such object; its items get errors.
    [[nodiscard]] job_actions chunkMissing(std::size_t chunk, time_point now);

    /// The item is not to be repeated: its start has to be committed before it runs.
    [[nodiscard]] job_actions startNeeded(std::uint32_t item, time_point now);
    /// Reports the end of a run. Ignored for an item that is not in flight.
    [[nodiscard]] job_actions itemEnded(std::uint32_t item, const item_end &end, time_point now);

    [[nodiscard]] job_actions resultsStored(time_point now);
    [[nodiscard]] job_actions committed(row_version version, time_point now);
    /// A condition of the commit did not hold.
    [[nodiscard]] job_actions commitRejected(time_point now);
    /// The commit's answer is lost: it may have taken effect, or may still do so.
    [[nodiscard]] job_actions commitUnknown(time_point now);
    /// The job's row, or none if it is gone.
    [[nodiscard]] job_actions jobRead(std::optional<job_record> record, row_version version, time_point now);
    /// The store did not answer to store_results, commit_progress (for sure without effect) or read_job.
    [[nodiscard]] job_actions storeUnavailable(time_point now);

    /// A cancel of this job is said to be committed.
    [[nodiscard]] job_actions cancelRequested(time_point now);
    /// Whether this node's lease still stands. Without it no item is started; once it stands again the job's row is read
    /// first, since another coordinator may have taken the job over.
    [[nodiscard]] job_actions setLeaseHeld(bool held, time_point now);
    /// Gives the job back once the items in flight have ended and their results are committed.
    [[nodiscard]] job_actions release(time_point now);

    /// Does what has come due.
    [[nodiscard]] job_actions tick(time_point now);
    /// When tick() is next needed, if at all.
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;

    /// The job as this coordinator last knew it to be committed.
    [[nodiscard]] const job_record &record() const
    {
        return m_record;
    }

    [[nodiscard]] const job_id &id() const
    {
        return m_record.id;
    }

    /// Items whose lines the host has to hold, and items whose results are not committed.
    [[nodiscard]] std::size_t heldItems() const
    {
        return m_heldItems.size();
    }
    [[nodiscard]] std::size_t bufferedResults() const
    {
        return m_uncommitted.size();
    }
    [[nodiscard]] std::size_t loadedChunks() const
    {
        return m_chunks.size();
    }

private:
    enum class item_phase {
        InFlight,
        NeedsStart, ///< To be part of the next commit.
        StartPending, ///< Part of the commit in progress.
        Waiting, ///< For its next try.
    };

    struct held_item
    {
        item_phase phase = item_phase::InFlight;
        std::uint32_t tries = 0; ///< Ends as not run.
        std::uint32_t lostRuns = 0; ///< Ends as lost.
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
        Storing, ///< store_results is out.
        Committing, ///< commit_progress is out.
        Reading, ///< read_job is out.
        Ended,
    };

    /// What the commit in progress adds to the row.
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
    std::vector<std::uint32_t> m_firstItems; ///< Of each chunk.

    std::map<std::uint32_t, held_item> m_heldItems;
    std::size_t m_activeItems = 0; ///< Held items that are not waiting.
    std::set<due_item> m_waiting;
    std::set<std::uint32_t> m_committedStarts; ///< Starts that this coordinator committed, without a committed result yet.
    std::set<std::uint32_t>
        m_activeNonRepeatable; ///< Of the items not to be repeated: those to be started, in flight, waiting or finished without a commit.
    std::vector<std::uint32_t> m_startsToCommit;
    bool m_nonRepeatableFinished = false; ///< An item in m_finished is not to be repeated.
    time_point m_lastStartCommit;
    std::uint64_t m_retriedLostRuns = 0;
    std::uint64_t m_finishedCount = 0;
    bool m_deadlinePassed = false;
    bool m_anyExpired = false;

    std::map<std::size_t, chunk_state> m_chunks;
    std::optional<time_point> m_chunkRetryAt;
    std::uint32_t m_nextCandidate = 0;
    std::optional<time_point> m_nextScan;

    std::vector<finished_item> m_finished; ///< Not yet part of a commit.
    std::size_t m_finishedBytes = 0;
    std::optional<time_point> m_oldestFinished;
    std::set<std::uint32_t> m_uncommitted; ///< Items in m_finished and m_pending.
    std::size_t m_uncommittedBytes = 0;

    store_phase m_storePhase = store_phase::Idle;
    std::optional<time_point> m_storeRetryAt; ///< Set while the phase's call has failed.
    duration m_storeDelay{};
    std::optional<pending_change> m_pending;
    bool m_resultsStored = false; ///< Of m_pending.
    job_record m_sentRecord; ///< By the last commit_progress.
    std::uint32_t m_nextSequence = 0;
    bool m_rereadNeeded = false;
    bool m_leaseHeld = true;
    bool m_releasing = false;
    std::optional<time_point> m_cancelGraceEnd;
    std::minstd_rand m_random;
};

} // namespace banyan
