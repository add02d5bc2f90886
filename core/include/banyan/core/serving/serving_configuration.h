#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/organisation.h"
#include "banyan/core/serving/route.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyan {

/// Limits of a service's upstreams.
struct service_limits
{
    std::uint32_t maximumConnections = 0; ///< Connections to one upstream from all nodes together; 0 for no limit.

    auto operator<=>(const service_limits &) const = default;
};

/// Limits of the size and duration of what a client sends.
struct client_limits
{
    std::size_t maximumHead = std::size_t(16) << 10; ///< Maximum size of a request's head in bytes.
    std::size_t maximumBody = std::size_t(4) << 20; ///< Maximum size of a request's body in bytes.
    duration headTimeout = std::chrono::seconds(3); ///< Maximum time for a request's head to arrive.
    duration idleTimeout = std::chrono::seconds(15); ///< Maximum time between two requests on a connection.

    auto operator<=>(const client_limits &) const = default;
};

/// One version of the operator's configuration of routes, services and client limits.
struct serving_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_name, service_limits> services;
    client_limits limits;
    std::vector<organisation> organisations; ///< Sorted by name.
    bool requiresKeys = false; ///< Requests on routes that are not public need a key of an organisation.

    auto operator<=>(const serving_configuration &) const = default;
};

} // namespace banyan
