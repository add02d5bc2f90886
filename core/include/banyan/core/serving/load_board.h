#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace banyan {

/// The other nodes' work in flight, by their own reports.
///
/// Reports are some tens of milliseconds old, and a node that falls silent is forgotten after a while: two nodes may take
/// the same slot now and then, which the upstream's own queue absorbs.
class load_board
{
public:
    /// @p memory is how long a node is known after its last report, @p usageMemory how long the work counts that it reported.
    explicit load_board(duration nodeRetention, duration usageRetention = duration::max());

    /// Changes how long reported work counts.
    void setUsageRetention(duration usageRetention);

    /// Takes in a report; one that is older than the last of its sender is ignored. Returns whether it was taken.
    bool record(const node_load &load, time_point now);

    /// Drops the reports of nodes that have been silent for too long.
    void expire(time_point now);

    /// Whether the work that the node last reported does not count any more, or it is not known at all.
    [[nodiscard]] bool isUnresponsive(const node_id &node) const;

    /// What the other nodes together have in flight at an upstream.
    struct total_usage
    {
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        std::uint32_t degradedNodes = 0; ///< How many of them call it troubled.
    };
    [[nodiscard]] total_usage usageOf(upstream_key upstream) const;

    /// The most batch work that any other node has at an upstream, and the least id of such a node.
    struct batch_holder
    {
        std::uint32_t batch = 0;
        node_id node;
    };
    [[nodiscard]] batch_holder largestBatch(upstream_key upstream) const;

    /// Online requests for a service that wait at other nodes.
    [[nodiscard]] std::uint32_t waitingOnline(service_key service) const;

    /// The nodes that have reported within the memory.
    [[nodiscard]] std::vector<node_id> nodes() const;

    /// The nodes that place requests, this one included if @p ownState allows it: those that are ready, and if these are
    /// fewer than the others, also those whose list is uncertain. The store is probably lost to all then, and a few nodes
    /// cannot place the requests of all.
    [[nodiscard]] std::vector<node_id> schedulingNodes(const node_id &self, scheduling_state ownState) const;

private:
    struct report
    {
        node_load load;
        time_point receivedAt;
        bool isCounted = true; ///< In the totals.
    };

    void add(const node_load &load);
    void subtract(const node_load &load);

    duration m_nodeRetention;
    duration m_usageRetention;
    std::map<node_id, report> m_reports;
    std::unordered_map<upstream_key, total_usage> m_totals; ///< Kept up with the reports, since it is read for each choice.
    std::unordered_map<service_key, std::uint32_t> m_waitingOnline;
};

} // namespace banyan
