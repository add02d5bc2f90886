#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>

namespace banyan {

/// A banyand that takes part in the fleet.
struct node_info
{
    node_id id; ///< The VM's id and a random part for this start.
    vm_id vm;
    failure_domain domain;
    endpoint peerAddress; ///< UDP for gossip and TCP for RPC, same port number.

    auto operator<=>(const node_info &) const = default;
};

} // namespace banyan
