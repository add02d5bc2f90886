#pragma once

#include "banyan/core/gossip_message.h"

#include <compare>
#include <variant>
#include <vector>

namespace banyan {

/// Asks the host to send a message; delivery is not guaranteed.
struct send_gossip
{
    endpoint to;
    gossip_message message;

    auto operator<=>(const send_gossip &) const = default;
};

/// Tells the host that the result of gossip_node::nodes() has changed.
struct view_changed
{
    auto operator<=>(const view_changed &) const = default;
};

/// Tells the host that patches from a peer advanced the configuration history.
struct configuration_advanced
{
    auto operator<=>(const configuration_advanced &) const = default;
};

/// Asks the host to fetch newer configuration from @p peer over a stream, because it does not fit in a gossip message.
struct fetch_configuration
{
    node_info peer;

    auto operator<=>(const fetch_configuration &) const = default;
};

/// An action that the host of a gossip_node carries out, in the order of the list.
using gossip_action = std::variant<send_gossip, view_changed, configuration_advanced, fetch_configuration>;
using gossip_actions = std::vector<gossip_action>;

} // namespace banyan
