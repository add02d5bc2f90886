#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <set>

namespace banyan {

/// Options of report_hubs.
struct report_hub_options
{
    node_id self;
    std::size_t maximumMeshNodes = 100; ///< Up to so many nodes all report to all.
    std::size_t hubCount = 16; ///< Enough that some are left when most nodes are lost at once.
    duration minimumInterval = std::chrono::milliseconds(20); ///< Between two reports of a node.
    duration intervalPerPeer = std::chrono::microseconds(1500); ///< Bounds the datagrams that a node sends and receives in a second.
    duration hubIntervalPerPeer = std::chrono::microseconds(1000); ///< The same for a hub, which is a stronger machine.
    duration minimumReportTimeout = std::chrono::milliseconds(600); ///< After which the work does not count that a node has reported.
};

/// Which nodes report their work to which.
///
/// Load pattern: fleets of hundreds of nodes, where reports of all to all would take most of a small node's processor. There a
/// few nodes are hubs: all nodes report to them, and they report to all. Hubs place the requests of cells and notice silent
/// nodes. They are the strongest registered nodes, in an order that every node finds by itself; nodes that know different
/// registrations for a while differ in a few hubs, which costs some claims without a verdict.
class report_hubs
{
public:
    explicit report_hubs(const report_hub_options &options);

    /// Replaces the registered nodes, this one included once it is registered, each with its processor's share of a core.
    void setRegistered(const std::map<node_id, double> &processorShares);

    /// Whether all nodes report to all.
    [[nodiscard]] bool isMesh() const
    {
        return m_isMesh;
    }

    /// Whether all nodes report to @p node.
    [[nodiscard]] bool isHub(const node_id &node) const
    {
        return m_isMesh || m_hubs.contains(node);
    }

    /// Whether this node reports to @p peer.
    [[nodiscard]] bool reportsTo(const node_id &peer) const
    {
        return isHub(peer) || isHub(m_options.self);
    }

    /// The least time between two reports of this node.
    [[nodiscard]] duration interval() const;

    /// Without a report for so long a node counts as silent: two reports, and a lost datagram.
    [[nodiscard]] duration reportTimeout() const;

    /// The hubs; empty while all nodes report to all.
    [[nodiscard]] const std::set<node_id> &hubs() const
    {
        return m_hubs;
    }

private:
    report_hub_options m_options;
    bool m_isMesh = true;
    std::size_t m_nodeCount = 0; ///< Registered.
    std::set<node_id> m_hubs;
};

} // namespace banyan
