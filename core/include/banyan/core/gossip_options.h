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
    std::uint64_t seed = 1; ///< For all random choices.
    duration probePeriod = std::chrono::seconds(1); ///< Between two probes.
    duration pingTimeout = std::chrono::milliseconds(400); ///< Before others are asked to ping; below the period.
    std::size_t indirectProbes = 3; ///< Nodes that are asked to ping.
    duration minimumReconnectInterval =
        std::chrono::milliseconds(500); ///< Shortest time between pings of listed addresses where nobody is known to run.
    duration maximumReconnectInterval = std::chrono::seconds(10); ///< The number of such addresses may grow soon.
    double reconnectsPerAddress = 0.5; ///< Such pings that an address receives a second from all nodes together, within these bounds.
    duration viewInterval = std::chrono::seconds(5); ///< Between exchanges of a page of the view.
    duration fastViewInterval = std::chrono::seconds(2); ///< The same, while much of the list is unknown.
    duration answerTimeout = std::chrono::milliseconds(500); ///< For a page of the view or for patches.
    duration fetchTimeout = std::chrono::seconds(2); ///< Before another peer is asked for configuration over a stream.
    duration pauseTolerance = std::chrono::milliseconds(500); ///< A tick that is later than this means that the process was paused.
    std::size_t rumorFanout = 4; ///< Peers that urgent news is sent to at once.
    double rumorsPerSecond = 4; ///< Messages with urgent news; what is over the rate waits for the probes.
    double rumorBurst = 12;
    double answersPerSecond = 40; ///< Pages, patches and corrections sent; those over the rate are left out and asked for again.
    double answerBurst = 200;
    std::size_t messageBytes = 1000; ///< Patches, or a page of the view, in one message, by estimate.
    std::size_t updateBytes = 600; ///< Reports on nodes that ride on a message, by estimate; the last one may go over it.
    member_table_options members;
};

} // namespace banyan
