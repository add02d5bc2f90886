#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/route.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyan {

/// What a configuration says of a service's upstreams.
struct service_limits
{
    std::uint32_t maximumConnections = 0; ///< Of one upstream, from all nodes together; 0 for no limit.

    auto operator<=>(const service_limits &) const = default;
};

/// What a client may send, and how long it may take.
struct client_limits
{
    std::size_t maximumHead = std::size_t(16) << 10; ///< Bytes of a request's head.
    std::size_t maximumBody = std::size_t(4) << 20; ///< Bytes of a request's body.
    duration headTimeout = std::chrono::seconds(3); ///< For a head to arrive.
    duration idleTimeout = std::chrono::seconds(15); ///< Between two requests on a connection.

    auto operator<=>(const client_limits &) const = default;
};

/// One version of what the operator wants to be served.
struct serving_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_name, service_limits> services;
    client_limits limits;

    auto operator<=>(const serving_configuration &) const = default;
};

} // namespace banyan
