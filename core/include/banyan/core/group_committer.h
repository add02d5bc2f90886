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

/// Where a group_committer stands with its lease.
enum class lease_status {
    NotHeld,
    Acquiring,
    Held, ///< As far as is known here; each transaction is conditional on it.
    Releasing,
    Lost, ///< Another has it, or had it; this committer takes nothing more.
};

/// Commits changes under a lease, one transaction at a time, each with all that waited meanwhile.
///
/// Each transaction requires the lease's row at the version that the one before left, and writes the row with its own
/// id. So at most one of several tries can take effect, a transaction delayed on its way excludes its repetition, and
/// when an answer is lost, reading the row tells whether the transaction took effect. A holder whose lease was taken
/// over can change nothing any more: its condition fails.
///
/// The host calls nextCall() after each event and at nextWakeUp(), carries the call out, reports its end, and takes
/// the outcomes.
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

    /// Begins to acquire the lease, given its row as read (none: there is no such row). Succeeds only if the row is
    /// still so. The caller decides whether it may be acquired, see lease_observer. @p first takes effect together
    /// with the acquisition; if its own conditions fail it ends as Conflict, and status() tells whether the lease is held.
    commit_ticket acquire(const std::optional<row> &seen, commit_item first, time_point now);

    /// Gives the lease up after all that was submitted before. Ends in NotHeld or Lost.
    void release();

    /// Takes a change in; its outcome follows from takeOutcomes().
    /// @throws std::invalid_argument if it is too large for a transaction
    commit_ticket submit(commit_item item);

    /// Lets go of a record without hurry: together with whatever is committed next, at the latest a renewal.
    void disown(const std::string &recordKey);

    /// What to ask of the store now; none while a call is in progress or nothing is due.
    [[nodiscard]] std::optional<store_call> nextCall(time_point now);

    /// Reports the answer to a commit_call.
    void commitAnswered(const commit_result &result, time_point now);

    /// Reports a commit_call without an answer.
    void commitFailed(commit_failure failure, time_point now);

    /// Reports the answer to a read_call.
    void readAnswered(const std::optional<row> &answer);

    /// Reports a read_call without an answer.
    void readFailed(time_point now);

    /// The outcomes since the last call; each ticket has one.
    [[nodiscard]] std::vector<commit_outcome> takeOutcomes();

    /// When nextCall() is to be called again without another event, if at all.
    [[nodiscard]] std::optional<time_point> nextWakeUp(time_point now) const;

    /// Sets the share of the store's budget.
    void setCommitsPerSecond(double rate, time_point now);

    [[nodiscard]] lease_status status() const
    {
        return m_status;
    }

    /// Whether the lease is held by the local clock: false from its duration after the last renewal was sent. While
    /// false, begin nothing new under the lease; it may be held again after the next commit.
    [[nodiscard]] bool isHeld(time_point now) const;

    /// The fencing number, once held.
    [[nodiscard]] std::uint64_t fencingNumber() const
    {
        return m_lease.number;
    }

    /// Whether the store took or answered the last call.
    [[nodiscard]] bool storeAvailable() const
    {
        return m_failures == 0;
    }

    /// Tells that the store answers somebody else, so that waiting for the next try is not needed.
    void storeAnswered(time_point now);

    /// When a caller that is refused now should come back.
    [[nodiscard]] duration retryAfter() const;

    /// Records owned.
    [[nodiscard]] std::size_t ownedCount() const
    {
        return m_index.size();
    }

    /// Items that have no outcome yet.
    [[nodiscard]] std::size_t pendingCount() const;

private:
    struct pending_item
    {
        commit_ticket ticket;
        commit_item item;
    };

    /// One content tried on top of the present version of the lease's row.
    struct candidate_transaction
    {
        std::uint64_t sequence = 0;
        lease_row lease;
        std::vector<pending_item> items;
        std::vector<std::string> disowned; ///< Besides those of the items.
        time_point firstSentAt;
        bool maybeApplied = false;
        bool release = false;
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
    [[nodiscard]] static std::vector<std::string> disownedBy(const candidate_transaction &candidate);
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
    lease_row m_lease; ///< As at m_version.
    row_version m_version = 0; ///< Of the lease's row; 0: absent.
    std::deque<pending_item> m_queue;
    std::vector<candidate_transaction> m_candidates; ///< All contents sent on top of m_version; each next one is a part of the one before.
    std::vector<std::string> m_disowned; ///< To be let go of with the next content.
    std::vector<commit_outcome> m_outcomes;
    call_state m_call = call_state::None;
    bool m_readBackDue = false; ///< The next call reads the lease's row.
    bool m_releaseRequested = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_nextTicket = 1;
    unsigned m_failures = 0; ///< Since the last answer.
    time_point m_retryAt{};
    time_point m_renewedAt{}; ///< When the last transaction that took effect was first sent.
};

} // namespace banyan
