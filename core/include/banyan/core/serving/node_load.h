#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/upstream_usage.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace banyan {

/// An attempt that ended with its upstream's connection, as told to the other nodes.
struct lost_content
{
    std::uint64_t fingerprint = 0; ///< Of the request's content.
    upstream_key upstream = 0;

    auto operator<=>(const lost_content &) const = default;
};

using service_key = std::uint32_t; ///< Hash of a service's name.

/// Whether a node places requests for others.
enum class scheduling_state : std::uint8_t {
    Ready,
    UpstreamsUncertain, ///< Its list of upstreams is not there yet or may be out of date: used only if most nodes are so.
    ShuttingDown, ///< Others place the requests of its cells.
};

/// The state's name in logs, for example "ready".
[[nodiscard]] std::string_view toString(scheduling_state value);

/// What a node tells the others of its own work.
struct node_load
{
    node_id sender;
    std::uint64_t sequence = 0; ///< Grows with each message of a sender.
    std::map<upstream_key, upstream_usage> usage; ///< Of upstreams where it has any work or trouble.
    scheduling_state schedulingState = scheduling_state::Ready;
    std::map<service_key, std::uint32_t> waitingOnline; ///< Requests that wait for a slot, by service.
    std::vector<lost_content> lost; ///< Within the last second or so.
    std::vector<upstream_key> leaving; ///< Starts of upstreams that have told the sender in an answer that they leave.
    std::vector<std::uint64_t> claims; ///< Hashes of the ids of all claims that it waits for or holds, at any node.

    auto operator<=>(const node_load &) const = default;
};

} // namespace banyan
