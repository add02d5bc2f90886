#pragma once

#include "banyan/core/configuration_patch.h"
#include "banyan/core/member_update.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyan {

/// What a gossip message is for. All kinds carry news besides.
enum class gossip_kind : std::uint8_t {
    Ping, ///< Asks for an Ack.
    Ack,
    PingRequest, ///< Asks the receiver to ping a third node and to pass on its Ack.
    ViewRequest, ///< Asks for a page of the receiver's view.
    View, ///< A page of the sender's view.
    Rumor, ///< Urgent news; needs no answer.
    PatchRequest, ///< Asks for the patches after the sender's configuration version.
    Patches, ///< Answers a PatchRequest; without patches if they do not fit in a message.
};

/// One datagram between two nodes.
struct gossip_message
{
    gossip_kind kind = gossip_kind::Ping;
    std::uint64_t sequence = 0; ///< Of the Ping or PingRequest, repeated in its Ack.
    member_update sender; ///< The sender's report on itself.
    node_id target; ///< Ping: whom it is meant for, empty for anyone. Ack: who answered. ViewRequest and View: the id before the page.
    std::optional<node_info> probe; ///< PingRequest: the node to ping.
    bool more = false; ///< View: further pages follow.
    std::optional<configuration_version> head; ///< The sender's configuration version; none if it has none.
    std::vector<member_update> updates; ///< News of other nodes, or the page of a View.
    std::vector<configuration_patch> patches; ///< Consecutive.

    auto operator<=>(const gossip_message &) const = default;
};

} // namespace banyan
