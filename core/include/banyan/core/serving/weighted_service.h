#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// A service of a route. It receives requests in proportion to its weight among the route's services.
struct weighted_service
{
    service_name service;
    std::uint32_t weight = 1;

    auto operator<=>(const weighted_service &) const = default;
};

} // namespace banyan
