#pragma once

#include "banyan/core/commit_item.h"
#include "banyan/core/commit_outcome.h"
#include "banyan/core/group_committer.h"
#include "banyan/core/group_committer_options.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/store_port.h"

#include <functional>
#include <memory>
#include <optional>

namespace banyan {

struct outcome_waiter;

/// A lease in the platform's table service and the changes made under it. It carries a group_committer's calls out:
/// renews the lease in time, settles lost answers by reading back, and tries again while the store is down.
///
/// @code
/// lease_session session(context, port, {.leaseKey = "lease/job/j-1", .holder = node.text(), .keepAlive = true});
/// if (co_await session.acquire(rowAsRead)) {
///     commit_item progress{.writes = {{"job/j-1", "…"}}};
///     const commit_outcome outcome = co_await session.commit(std::move(progress));
///     co_await session.release();
/// }
/// @endcode
class lease_session
{
public:
    lease_session(asio::io_context &context, store_port port, group_committer_options options);

    /// Abandons the lease; it lapses. Nothing is called back after this.
    ~lease_session();
    lease_session(const lease_session &) = delete;
    lease_session &operator=(const lease_session &) = delete;

    /// Acquires the lease if its row is still as read (none: absent); the caller decides that it is free or lapsed, see
    /// lease_observer. @p first takes effect together with it. Waits while the store is down.
    /// Begins at once; the task's value tells whether the lease is held then.
    [[nodiscard]] task<bool> acquire(const std::optional<row> &seen, commit_item first = {});

    /// Makes a change, conditional on the lease. Waits while the store is down, unless the item is to be refused then.
    /// Begins at once; the task's value is the outcome. Never throws for what the store does.
    /// @throws std::invalid_argument if the item is too large for a transaction
    [[nodiscard]] task<commit_outcome> commit(commit_item item);

    /// Lets go of a record without hurry, see group_committer::removeOwnership().
    void disown(const std::string &recordKey);

    /// Gives the lease up after the changes made before; waits until that is committed, the lease is lost, or @p until.
    [[nodiscard]] task<> release(time_point until);

    /// Sets the share of the store's budget, in transactions a second.
    void setCommitsPerSecond(double rate);

    /// Tells that the store answers somebody else: what waits for it is tried now.
    void storeAnswered();

    /// Calls @p handler whenever the store does not answer.
    void onUnavailable(std::function<void()> handler);

    /// Calls @p handler once when the lease turns out to be another's.
    void onLost(std::function<void()> handler);

    /// Whether the lease is held by the local clock; while false, begin nothing under it.
    [[nodiscard]] bool held() const;

    /// The committer's state: fencing number, store availability, items waiting.
    [[nodiscard]] const group_committer &committer() const;

private:
    class implementation;
    static task<bool> heldAfter(std::shared_ptr<implementation> state, std::shared_ptr<outcome_waiter> waiter);

    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
