#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>

namespace banyan {

/// An upstream as a dispatcher is told of it.
struct upstream_info
{
    upstream_id id;
    endpoint address;
    bool leaving = false; ///< Receives no new work; work in progress goes on.

    auto operator<=>(const upstream_info &) const = default;
};

} // namespace banyan
