#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/outstanding_work.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace banyan {

/// Sums up the work that the other nodes have in flight, from the load reports they send.
///
/// Reports are some tens of milliseconds old, and those of unresponsive nodes expire. Two nodes may therefore occasionally
/// use the same slot; the upstream's own queue absorbs this.
class load_board
{
public:
    /// A node is listed for @p nodeRetention after its last report; the work that it reported is counted for @p usageRetention.
    explicit load_board(duration nodeRetention, duration usageRetention = duration::max());

    /// Changes how long reported work is counted.
    void setUsageRetention(duration usageRetention);

    /// Records a report, unless a later one of the same sender has been recorded. Returns whether it was recorded.
    bool record(const node_load &load, time_point now);

    /// Stops counting work after the usage retention, and drops nodes after the node retention.
    void expire(time_point now);

    /// Whether the node is unknown or its last report is too old for its work to be counted.
    [[nodiscard]] bool isUnresponsive(const node_id &node) const;

    /// Total work of the other nodes in flight at an upstream.
    struct total_usage
    {
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        std::uint32_t degradedNodes = 0; ///< Number of nodes that report the upstream as degraded.
        outstanding_work work; ///< Of the runs whose remaining time is reported; it has passed since the reports arrived.
    };
    [[nodiscard]] total_usage usageOf(upstream_key upstream) const;

    /// The node with the most batch work at an upstream, the one with the lowest id if several have as much.
    struct batch_holder
    {
        std::uint32_t batch = 0;
        node_id node;
    };
    [[nodiscard]] batch_holder largestBatch(upstream_key upstream) const;

    /// Number of online requests for a service that wait at other nodes.
    [[nodiscard]] std::uint32_t waitingOnline(service_key service) const;

    /// The node's last report, while it is counted; null if there is none.
    [[nodiscard]] const node_load *reportOf(const node_id &node) const;

    /// The nodes whose last report is not older than the node retention.
    [[nodiscard]] std::vector<node_id> nodes() const;

    /// Whether most of these nodes have reported that they read the store and are not shutting down.
    [[nodiscard]] bool mostAreReady() const;

    /// The nodes that schedule requests, including this one if @p ownState allows it: those that are ready, and if they are
    /// outnumbered, also those whose upstream list is uncertain. In that case the store is probably unavailable to all
    /// nodes, and a few nodes cannot schedule the requests of all.
    [[nodiscard]] std::vector<node_id> schedulingNodes(const node_id &self, scheduling_state ownState) const;

private:
    struct report
    {
        node_load load;
        time_point receivedAt;
        bool isCounted = true; ///< Whether the totals include this report.
    };

    void add(const report &added);
    void subtract(const report &removed);

    duration m_nodeRetention;
    duration m_usageRetention;
    std::map<node_id, report> m_reports;
    std::unordered_map<upstream_key, total_usage> m_totals; ///< Updated with each report, since every scheduling decision reads it.
    std::unordered_map<service_key, std::uint32_t> m_waitingOnline;
};

} // namespace banyan
