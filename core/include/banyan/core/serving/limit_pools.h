#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/limit_pool_report.h"
#include "banyan/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace banyan {

/// Options of limit_pools.
struct limit_pools_options
{
    node_id self;
    time_point startedAt; ///< The leases of an earlier process at this node's address run out after it.
    duration leaseTime = std::chrono::milliseconds(600); ///< Several reports, so that a lost one does not end a lease.
};

/// Gathers the nodes' shares of the limits of organisations at a few nodes, so that at any moment each share is in one hand.
///
/// The organisations are divided into pools. Each registered node owns an equal share of every pool and leases it with its load
/// reports to the pool's keeper, which is chosen by rendezvous hashing over the nodes that were heard lately. A lease names the last
/// report of the keeper that the owner has heard, and ends one lease time after that report: for the keeper counted from its
/// sending, for the owner from its arrival, which is later. So no delay, repetition or pause of a process makes a lease last longer
/// for its holder than for its owner, and no clocks are compared.
class limit_pools
{
public:
    static constexpr std::uint8_t poolCount = 8; ///< The loss of a keeper concerns one pool; each costs six bytes of a report.

    explicit limit_pools(const limit_pools_options &options);

    /// Sets the number of registered nodes, and for how long shares are leased. Without any node, this one has no share.
    void setNodes(std::size_t count, duration leaseTime);

    /// Sets whether this node may be a keeper.
    void setMayKeep(bool mayKeep);

    /// Renews or begins this node's leases; to be called for each of its load reports, whose number is @p sequence.
    [[nodiscard]] limit_pool_report report(std::uint64_t sequence, time_point now);

    /// Records the report of another node, unless a later one was recorded. @p mayKeep tells whether the node may be a keeper.
    void record(const node_id &from, std::uint64_t sequence, bool mayKeep, const limit_pool_report &report, time_point now);

    /// The part of the limits that this node may use, from 0 to 1, as of the last call of record(), report() or expire().
    [[nodiscard]] double shareOf(std::uint8_t pool) const;

    /// The time of the next call of expire(); not after the next end of a lease to this node.
    [[nodiscard]] std::optional<time_point> nextEnd() const;

    /// Ends the leases to this node that have run out.
    void expire(time_point now);

    /// The node that holds most of a pool, as far as this node knows; to be asked for credits.
    [[nodiscard]] node_id keeperOf(std::uint8_t pool, time_point now) const;

private:
    /// Another node, as its last report describes it.
    struct peer
    {
        node_id id;
        std::uint64_t sequence = 0;
        time_point heardAt;
        bool mayKeep = false;
        std::vector<pool_share> shares;
    };

    /// Who uses this node's own share of a pool.
    struct own_share
    {
        node_key holder = 0; ///< This node, or the one to which the share was leased last.
        time_point leasedUntil; ///< No other node, this one included, may use the share before.
        bool isUsed = false; ///< By this node.
    };

    /// A report of this node, which leases may name.
    struct sent_report
    {
        std::uint64_t sequence = 0;
        time_point at;
    };

    [[nodiscard]] bool isHeard(const peer &node, time_point now) const;
    [[nodiscard]] node_key chosenKeeper(std::uint8_t pool, time_point now) const;
    void renew(std::uint8_t pool, time_point now, limit_pool_report &report);
    void forgetOld(time_point now);
    [[nodiscard]] std::optional<time_point> sentAt(std::uint16_t heard) const;

    limit_pools_options m_options;
    node_key m_self;
    std::size_t m_nodeCount = 0;
    bool m_mayKeep = false;
    std::unordered_map<node_key, peer> m_peers;
    std::deque<sent_report> m_sent; ///< Oldest first.
    std::array<own_share, poolCount> m_own;
    std::array<std::unordered_map<node_key, time_point>, poolCount> m_received; ///< Ends of the leases to this node, by owner.
    std::optional<time_point> m_nextEnd;
};

} // namespace banyan
