#pragma once

#include "banyan/core/member_table.h"
#include "banyan/core/node_info.h"

#include <cstddef>
#include <cstdint>

namespace banyan {

/// Options of a gossip_node.
struct gossip_options
{
    node_info self;
    std::uint64_t seed = 1; ///< Seed of all random choices.
    duration probePeriod = std::chrono::seconds(1); ///< Time between two probes.
    duration pingTimeout =
        std::chrono::milliseconds(400); ///< Time before ping requests are sent to other nodes; shorter than the probe period.
    std::size_t indirectProbes = 3; ///< Number of nodes that receive a ping request.
    duration minimumReconnectInterval =
        std::chrono::milliseconds(500); ///< Shortest time between pings of listed addresses at which no node is known to run.
    duration maximumReconnectInterval =
        std::chrono::seconds(10); ///< Upper bound of that time, because the number of such addresses may grow.
    double reconnectsPerAddress = 0.5; ///< Such pings per second to one address from all nodes together, within these bounds.
    duration viewInterval = std::chrono::seconds(5); ///< Time between requests for a page of a peer's view.
    duration fastViewInterval = std::chrono::seconds(2); ///< The same while many listed addresses have no known node.
    duration answerTimeout = std::chrono::milliseconds(500); ///< How long to wait for a page of a view or for patches.
    duration fetchTimeout = std::chrono::seconds(2); ///< Time before the configuration is fetched from another peer.
    duration pauseTolerance = std::chrono::milliseconds(500); ///< A tick later than this means that the process was paused.
    std::size_t rumorFanout = 4; ///< Number of peers that urgent updates are sent to at once.
    double rumorsPerSecond = 4; ///< Rate limit of messages with urgent updates; updates over it are piggybacked on probes.
    double rumorBurst = 12;
    double answersPerSecond =
        40; ///< Rate limit of views, patches and refutations sent; those over it are dropped, and peers request them again.
    double answerBurst = 200;
    std::size_t messageBytes = 1000; ///< Limit on the estimated bytes of patches or of a page of the view in one message.
    std::size_t updateBytes = 600; ///< Limit on the estimated bytes of updates piggybacked on a message; the last update may exceed it.
    member_table_options members;
};

} // namespace banyan
