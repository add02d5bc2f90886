#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/share_lease.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace banyan {

/// Options of limit_shares.
struct limit_shares_options
{
    node_id self;
    duration leaseTime = std::chrono::milliseconds(600); ///< Several reports, so that a lost one does not end a lease.
    duration transitTime = std::chrono::milliseconds(100); ///< Time that a report may take; the owner of a share waits for it as well.
    std::size_t maximumLeases = 64; ///< In one report.
};

/// Divides the rate limits of upstreams between the nodes, so that the rates of all nodes add up to the limit at most.
///
/// Each registered node owns an equal share of every limit. It leases the share to the node from which it claims slots, cell by
/// cell, with its load reports; while a lease runs only its holder uses the share. A node that claims from itself, or that hears
/// no other, uses its own share once its last lease has run out. This needs no agreement on which nodes are alive: a wrong view
/// can only leave a share unused.
class limit_shares
{
public:
    explicit limit_shares(const limit_shares_options &options);

    /// Sets the number of registered nodes. Without any, this node has no share.
    void setNodeCount(std::size_t count);

    /// Sets for how long leases are granted; the same for all nodes that know the same registrations.
    void setLeaseTime(duration leaseTime);

    /// Renews or begins this node's leases; to be called for each load report, which has to carry the result. @p claimedFrom names
    /// the node from which this node claims slots of each cell with limited upstreams.
    [[nodiscard]] std::vector<share_lease> renew(const std::map<cell_key, node_id> &claimedFrom, time_point now);

    /// Records the leases in a report of another node. They replace those of its last report.
    void record(const node_id &from, std::span<const share_lease> leases, time_point now);

    /// The part of the limits of a cell's upstreams that this node may use, from 0 to 1.
    [[nodiscard]] double shareOf(cell_key cell, time_point now) const;

    /// Drops leases that have run out.
    void expire(time_point now);

private:
    /// Who uses this node's own share of a cell's limits.
    struct own_share
    {
        node_id holder; ///< This node, or the one to which the share was leased last.
        time_point leasedUntil; ///< No other node, this one included, may use the share before.
    };

    limit_shares_options m_options;
    std::size_t m_nodeCount = 0;
    std::map<cell_key, own_share> m_own;
    std::map<cell_key, std::map<node_id, time_point>> m_received; ///< End of each lease to this node, by cell and owner.
};

} // namespace banyan
