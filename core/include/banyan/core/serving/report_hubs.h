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
    std::size_t maximumMeshNodes = 100; ///< Up to this number of nodes, every node reports to every other.
    std::size_t hubCount = 16; ///< Number of hubs; large enough for some to remain when most nodes are lost at once.
    duration minimumInterval = std::chrono::milliseconds(20); ///< Minimum time between two reports of a node.
    duration intervalPerPeer = std::chrono::microseconds(1500); ///< Per receiver; bounds the datagrams sent and received per second.
    duration hubIntervalPerPeer = std::chrono::microseconds(1000); ///< The same for a hub, which has more processor share.
    duration minimumReportTimeout = std::chrono::milliseconds(600); ///< Lower bound of report_hubs::reportTimeout().
};

/// Decides which nodes send load reports to which.
///
/// Load pattern: fleets of hundreds of nodes, where all-to-all reports would take most of a small node's processor. In such
/// a fleet a few nodes are hubs: all nodes report to them, and they report to all. Hubs schedule the requests of cells and
/// detect unresponsive nodes. They are the registered nodes with the largest processor share, in an order that every node
/// computes by itself. While nodes see different registrations they differ in a few hubs, and some claims get no verdict.
class report_hubs
{
public:
    explicit report_hubs(const report_hub_options &options);

    /// Replaces the registered nodes, including this one once it is registered, each with its share of a processor core.
    void setRegistered(const std::map<node_id, double> &processorShares);

    /// Whether every node reports to every other.
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

    /// Minimum time between two reports of this node.
    [[nodiscard]] duration interval() const;

    /// A node without a report for this long counts as unresponsive: the time of two reports, so that one may be lost.
    [[nodiscard]] duration reportTimeout() const;

    /// The hubs; empty while every node reports to every other.
    [[nodiscard]] const std::set<node_id> &hubs() const
    {
        return m_hubs;
    }

private:
    report_hub_options m_options;
    bool m_isMesh = true;
    std::size_t m_nodeCount = 0; ///< Number of registered nodes.
    std::set<node_id> m_hubs;
};

} // namespace banyan
