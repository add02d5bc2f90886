#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// A service and its share of a route's requests, against the weights of the route's other services.
struct weighted_service
{
    service_name service;
    std::uint32_t weight = 1;

    auto operator<=>(const weighted_service &) const = default;
};

} // namespace banyan
