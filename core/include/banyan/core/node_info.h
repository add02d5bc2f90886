#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>

namespace banyan {

/// A node of the fleet: one running banyand process.
struct node_info
{
    node_id id; ///< The VM's id with a random suffix for each process start.
    vm_id vm;
    failure_domain domain;
    endpoint peerAddress; ///< Address for gossip (UDP) and RPC (TCP), which use the same port number.

    auto operator<=>(const node_info &) const = default;
};

} // namespace banyan
