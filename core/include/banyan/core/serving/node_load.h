#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/limit_pool_report.h"
#include "banyan/core/serving/part_loss.h"
#include "banyan/core/serving/reported_limit.h"
#include "banyan/core/serving/share_lease.h"
#include "banyan/core/serving/upstream_usage.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace banyan {

/// A request content whose attempt ended because the connection to its upstream was lost, as reported to the other nodes.
struct lost_content
{
    std::uint64_t fingerprint = 0; ///< Hash of the request's content.
    upstream_key upstream = 0;

    auto operator<=>(const lost_content &) const = default;
};

using service_key = std::uint32_t; ///< Hash of a service's name.

/// Whether a node schedules requests for other nodes.
enum class scheduling_state : std::uint8_t {
    Ready,
    UpstreamsUncertain, ///< Its list of upstreams is missing or may be out of date; it schedules only if most nodes are in this state.
    ShuttingDown, ///< The node shuts down; other nodes schedule the requests of its cells.
};

/// The state's name in logs, for example "ready".
[[nodiscard]] std::string_view toString(scheduling_state value);

/// Load report of a node: its own work and its observations of upstreams, sent to other nodes.
struct node_load
{
    node_id sender;
    std::uint64_t sequence = 0; ///< Increases with each report of the sender, so that receivers can ignore reordered ones.
    std::map<upstream_key, upstream_usage> usage; ///< Upstreams where the node has work or that it finds degraded.
    scheduling_state schedulingState = scheduling_state::Ready;
    std::map<service_key, std::uint32_t> waitingOnline; ///< Number of online requests waiting for a slot, by service.
    std::vector<lost_content> lost; ///< Contents lost within about the last second.
    std::vector<upstream_key> leaving; ///< Incarnations of upstreams that announced in an answer to the sender that they leave.
    std::vector<part_loss> lostParts; ///< Prompt parts of runs that were lost before their answer had begun, within about the last second.
    std::vector<std::uint64_t> provenParts; ///< Hashes of suspected prompt parts that were answered.
    std::vector<reported_limit> limits; ///< Rate limits that upstreams named in answers to the sender lately.
    std::vector<share_lease> leases; ///< The sender's shares of rate limits that other nodes may use.
    limit_pool_report pools; ///< Of the limits of organisations.
    std::vector<upstream_key> unreachable; ///< Upstreams to which the sender has lost its path; see reachesNone.
    bool reachesNone = false; ///< The sender may have lost its way to all upstreams: what it lists says nothing about them.
    std::uint32_t forwards = 0; ///< Requests of other nodes that the sender is forwarding.
    std::vector<std::uint64_t> claims; ///< Hashes of the ids of all claims, at any node, that the sender waits for or holds.

    auto operator<=>(const node_load &) const = default;
};

} // namespace banyan
