#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/forwarder.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace banyan {

struct node_load;
class load_board;
class report_hubs;

/// Chooses which other node forwards a request to an upstream that this node does not reach.
///
/// A node is asked only if its last report says that it schedules and reaches the upstream. In a fleet where not all nodes report
/// to each other, nodes without a report are asked as well; one that cannot help says so at once. The choice is random, weighted by the
/// processor that a node has for each request that it forwards, so that nodes that know the same spread their requests.
class forwarder_choice
{
public:
    /// @p board and @p hubs must outlive the choice.
    forwarder_choice(const load_board &board, const report_hubs &hubs);

    /// Replaces the nodes that may be asked.
    void setNodes(std::vector<forwarder> nodes);

    /// The node to ask next; empty if none can help. @p tried nodes are left out.
    [[nodiscard]] std::optional<forwarder>
    choose(upstream_key upstream, std::span<const node_id> tried, std::mt19937_64 &generator, time_point now) const;

    /// Records that a request was given to a node, and that it has ended.
    void begun(const node_id &node);
    void ended(const node_id &node);

    /// Records that a node has not helped for a reason of its own: others are asked for a while, if there are any.
    void failed(const node_id &node, time_point now);

    /// Records that a forwarder has not reached the upstream either. Its failures are then its own for a while.
    void notReached(upstream_key upstream, time_point now);

    /// Whether the upstream is not reached by nodes that reach others: a forwarder has said so lately, or a report does.
    [[nodiscard]] bool isDown(upstream_key upstream, time_point now) const;

private:
    [[nodiscard]] double weightOf(const forwarder &candidate, upstream_key upstream) const;
    [[nodiscard]] bool isAvoided(const node_id &node, time_point now) const;

    const load_board &m_board;
    const report_hubs &m_hubs;
    std::vector<forwarder> m_nodes;
    std::map<node_id, std::size_t> m_given; ///< Requests in progress that were given to a node.
    std::map<node_id, time_point> m_avoidedUntil;
    std::map<upstream_key, time_point> m_downUntil;
};

} // namespace banyan
