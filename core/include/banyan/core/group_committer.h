#pragma once

#include "banyan/core/commit_item.h"
#include "banyan/core/commit_outcome.h"
#include "banyan/core/group_committer_options.h"
#include "banyan/core/lease_row.h"
#include "banyan/core/ownership_index.h"
#include "banyan/core/store_call.h"
#include "banyan/core/token_bucket.h"

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace banyan {

/// State of a group_committer's lease.
enum class lease_status {
    NotHeld,
    Acquiring,
    Held, ///< Held as far as this process knows; each transaction is conditional on it.
    Releasing,
    Lost, ///< Another holder has or had the lease; further items end as LeaseLost.
};

/// Commits changes under a lease, one transaction at a time; each transaction combines the items queued in the meantime.
///
/// Each transaction requires the lease row at the version written by the previous one, and writes its own id to the row.
/// Therefore at most one of several attempts takes effect, a delayed transaction and its repetition exclude each other, and
/// after a lost answer the row tells whether the transaction took effect. The condition also fails all transactions of a
/// holder whose lease was taken over.
///
/// The host calls nextCall() after each event and at nextWakeUp(), executes the call, reports its result and fetches the
/// outcomes.
///
/// @code
/// group_committer committer({.leaseKey = "lease/job/j-1", .holder = "n1", .keepAlive = true});
/// committer.acquire(rowAsRead, {}, now);
/// const commit_ticket ticket = committer.submit({.writes = {{"job/j-1", "…"}}});
/// while (const auto call = committer.nextCall(now)) { ... committer.commitAnswered(result, now); }
/// for (const commit_outcome &outcome : committer.takeOutcomes()) { ... }
/// @endcode
class group_committer
{
public:
    explicit group_committer(group_committer_options options);

    /// Starts to acquire the lease, given its row as read (none: the row is absent). Succeeds only if the row has not changed
    /// since. The caller decides whether the lease may be acquired, see lease_observer. @p first takes effect together with
    /// the acquisition; if its own conditions fail it ends as Conflict, and status() tells whether the lease is held.
    commit_ticket acquire(const std::optional<row> &seen, commit_item first, time_point now);

    /// Releases the lease after all items submitted so far are committed. The status becomes NotHeld or Lost.
    void release();

    /// Queues an item; takeOutcomes() returns its outcome later.
    /// @throws std::invalid_argument if the item is too large for a transaction
    commit_ticket submit(commit_item item);

    /// Removes the ownership of a record with the next transaction, at the latest with the next renewal.
    void removeOwnership(const std::string &ownership);

    /// Returns the next call to the store; none while a call is in progress or nothing is due.
    [[nodiscard]] std::optional<store_call> nextCall(time_point now);

    /// Reports the answer to a commit_call.
    void commitAnswered(const commit_result &result, time_point now);

    /// Reports that a commit_call failed without an answer.
    void commitFailed(commit_failure failure, time_point now);

    /// Reports the answer to a read_call.
    void readAnswered(const std::optional<row> &answer);

    /// Reports that a read_call failed without an answer.
    void readFailed(time_point now);

    /// Returns the outcomes since the last call. Each ticket gets exactly one outcome.
    [[nodiscard]] std::vector<commit_outcome> takeOutcomes();

    /// Returns the time at which nextCall() has to be called if no event occurs before; none if only an event can make a call due.
    [[nodiscard]] std::optional<time_point> nextWakeUp(time_point now) const;

    /// Sets the maximum rate of transactions, this committer's share of the store's capacity.
    void setCommitsPerSecond(double rate, time_point now);

    [[nodiscard]] lease_status status() const
    {
        return m_status;
    }

    /// Whether the lease is valid by the local clock: false once the lease duration has passed since the last renewal was sent.
    /// While false, start no new work under the lease; it may become valid again with the next commit.
    [[nodiscard]] bool isHeld(time_point now) const;

    /// Returns the fencing number. Valid once the lease is held.
    [[nodiscard]] std::uint64_t fencingNumber() const
    {
        return m_lease.fencingNumber;
    }

    /// Whether the store accepted or answered the last call.
    [[nodiscard]] bool storeAvailable() const
    {
        return m_failures == 0;
    }

    /// Reports that the store has answered another client, which ends the wait before the next attempt.
    void storeAnswered(time_point now);

    /// Returns the delay after which a caller that is rejected now should retry.
    [[nodiscard]] duration retryAfter() const;

    /// Returns the number of owned records.
    [[nodiscard]] std::size_t ownedCount() const
    {
        return m_index.size();
    }

    /// Returns the number of items that have no outcome yet.
    [[nodiscard]] std::size_t pendingCount() const;

private:
    struct pending_item
    {
        commit_ticket ticket;
        commit_item item;
    };

    /// A transaction that was sent with the current version of the lease row as its condition.
    struct candidate_transaction
    {
        std::uint64_t sequence = 0;
        lease_row lease;
        std::vector<pending_item> items;
        std::vector<std::string> removedOwnerships; ///< Ownerships removed in addition to those of the items.
        time_point firstSentAt;
        bool maybeApplied = false; ///< An answer was lost, so it may have taken effect or may still do so.
        bool release = false; ///< Releases the lease.
    };

    enum class call_state {
        None,
        Committing,
        Reading,
    };

    [[nodiscard]] bool renewalDue(time_point now) const;
    [[nodiscard]] bool needsCommit(time_point now) const;
    [[nodiscard]] bool maybeApplied() const;
    [[nodiscard]] std::vector<pending_item> takeBatch();
    void addCandidate(std::vector<pending_item> items, time_point now);
    [[nodiscard]] static std::vector<std::string> removedOwnershipsOf(const candidate_transaction &candidate);
    [[nodiscard]] transaction buildTransaction(const candidate_transaction &candidate) const;
    void recordCommitted(const candidate_transaction &candidate, row_version version);
    void dropConflicting(const std::vector<std::string> &failedKeys, time_point now);
    void loseLease(bool neverApplied);
    void failQueuedItems();
    void rejectQueuedItems();
    void requeue(std::vector<pending_item> items);
    void recordFailure(time_point now);
    void finish(const pending_item &item, commit_status status, row_version version = 0);
    void finishDroppedItems(const candidate_transaction &candidate);
    [[nodiscard]] bool certainlyNotApplied(const std::optional<lease_row> &found) const;

    group_committer_options m_options;
    token_bucket m_bucket;
    ownership_index m_index;
    lease_status m_status = lease_status::NotHeld;
    lease_row m_lease; ///< Contents of the lease row at m_version.
    row_version m_version = 0; ///< Version of the lease row; 0: absent.
    std::deque<pending_item> m_queue;
    std::vector<candidate_transaction>
        m_candidates; ///< All transactions sent on top of m_version; each one holds a subset of the items of the previous one.
    std::vector<std::string> m_removedOwnerships; ///< Ownerships to remove with the next candidate.
    std::vector<commit_outcome> m_outcomes;
    call_state m_call = call_state::None;
    bool m_readBackDue = false; ///< The next call reads the lease row.
    bool m_releaseRequested = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_nextTicket = 1;
    unsigned m_failures = 0; ///< Consecutive failed calls since the last answer.
    time_point m_retryAt{};
    time_point m_renewedAt{}; ///< Time at which the last transaction that took effect was first sent.
};

} // namespace banyan
