#pragma once

#include "banyan/core/gossip_message.h"

#include <compare>
#include <variant>
#include <vector>

namespace banyan {

/// Send a message. It may get lost.
struct send_gossip
{
    endpoint to;
    gossip_message message;

    auto operator<=>(const send_gossip &) const = default;
};

/// nodes() has changed.
struct view_changed
{
    auto operator<=>(const view_changed &) const = default;
};

/// The history has been advanced by what a peer sent.
struct configuration_advanced
{
    auto operator<=>(const configuration_advanced &) const = default;
};

/// This peer has newer configuration than fits in a message: fetch it over a stream.
struct fetch_configuration
{
    node_info peer;

    auto operator<=>(const fetch_configuration &) const = default;
};

/// What the host of a gossip_node has to do, in order.
using gossip_action = std::variant<send_gossip, view_changed, configuration_advanced, fetch_configuration>;
using gossip_actions = std::vector<gossip_action>;

} // namespace banyan
