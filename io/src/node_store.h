#pragma once

#include "banyan/core/commit_item.h"
#include "banyan/core/commit_outcome.h"
#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"
#include "banyan/io/async_event.h"
#include "banyan/io/lease_session.h"
#include "banyan/io/store_port.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

/// Options of a node_store.
struct node_store_options
{
    node_id node;
    duration leaseDuration{};
    double commitsPerSecond = 20;
};

/// This node's way to the store: its lease, under which it commits, and whether the store answers. If the lease is
/// lost, because this node was paused or cut off for too long, it goes on under a new one with another name.
class node_store : public std::enable_shared_from_this<node_store>
{
public:
    /// The lease in use.
    struct current_lease
    {
        std::shared_ptr<lease_session> session;
        std::string holder; ///< Owner of what is accepted under it.
    };

    node_store(asio::io_context &context, store_port port, node_store_options options);

    /// The lease in use; acquires one if there is none.
    [[nodiscard]] current_lease lease();

    /// Makes a change under whatever lease is in use. Waits while the store is down, unless the item is to be refused.
    [[nodiscard]] task<commit_outcome> commit(commit_item item);

    /// Lets go of a record without hurry.
    void disown(const std::string &recordKey);

    /// Reads a row. @throws platform_unavailable
    [[nodiscard]] task<std::optional<row>> read(std::string key);

    /// Reads a row, waiting while the store is down.
    [[nodiscard]] task<std::optional<row>> readPatiently(std::string key);

    /// Stores an object, waiting while the store is down. The name must stand for this content only.
    [[nodiscard]] task<> putPatiently(std::string name, std::string bytes);

    /// Returns once the store answers. All who wait share one probe.
    [[nodiscard]] task<> waitUntilAvailable();

    /// Whether the store answered last.
    [[nodiscard]] bool available() const;

    /// When a caller that is refused now should come back.
    [[nodiscard]] duration retryAfter() const;

    /// Sets this node's share of the store's budget.
    void setCommitsPerSecond(double rate);

    /// Gives the lease up; what is still owned can then be taken over at once.
    [[nodiscard]] task<> release(time_point until);

    /// Whether a row is the lease in use here.
    [[nodiscard]] bool isOwnLease(std::string_view leaseKey) const;

    /// A name that is not used again.
    [[nodiscard]] std::string uniqueName();

    [[nodiscard]] const store_port &port() const
    {
        return m_port;
    }

    [[nodiscard]] time_point now() const
    {
        return m_port.now();
    }

private:
    void renewLease();
    void markDown();
    static task<> probe(std::shared_ptr<node_store> self);

    asio::io_context &m_context;
    store_port m_port;
    node_store_options m_options;
    current_lease m_lease;
    std::uint64_t m_leases = 0;
    std::uint64_t m_names = 0;
    bool m_down = false;
    async_event m_availableAgain;
};

} // namespace banyan
