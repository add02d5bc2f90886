#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>

namespace banyan {

/// Another node that may forward a request to an upstream that this node does not reach.
struct forwarder
{
    node_id node;
    endpoint address; ///< Where it takes such requests.
    double processorShare = 1; ///< Cores.

    auto operator<=>(const forwarder &) const = default;
};

} // namespace banyan
