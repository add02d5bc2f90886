#pragma once

#include "banyan/core/configuration_patch.h"
#include "banyan/core/member_update.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyan {

/// The purpose of a gossip message. Pings, acks, ping requests and rumors also carry pending member updates.
enum class gossip_kind : std::uint8_t {
    Ping, ///< Requests an Ack.
    Ack, ///< Answers a Ping, directly or relayed.
    PingRequest, ///< Requests that the receiver pings a third node and relays its Ack.
    ViewRequest, ///< Requests a page of the receiver's view.
    View, ///< Answers a ViewRequest with a page of the sender's view.
    Rumor, ///< Carries urgent updates; needs no answer.
    PatchRequest, ///< Requests the patches after the sender's configuration version.
    Patches, ///< Answers a PatchRequest; carries no patches if they do not fit in a message.
};

/// A datagram between two nodes.
struct gossip_message
{
    gossip_kind kind = gossip_kind::Ping;
    std::uint64_t sequence = 0; ///< Number of a request, repeated in the Ack or View that answers it.
    member_update sender; ///< The sender's own state.
    node_id
        target; ///< Ping: the intended receiver, empty for any. Ack: the node that answered. ViewRequest and View: the id before the page.
    std::optional<node_info> probe; ///< PingRequest: the node to ping.
    bool more = false; ///< View: whether further pages follow.
    std::optional<configuration_version> head; ///< The sender's configuration version; none if it has no configuration.
    std::vector<member_update> updates; ///< Pending updates on nodes, or the page of a View.
    std::vector<configuration_patch> patches; ///< Patches with consecutive versions.

    auto operator<=>(const gossip_message &) const = default;
};

} // namespace banyan
