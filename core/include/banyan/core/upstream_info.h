#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>

namespace banyan {

/// Identity and address of an upstream, as passed to a dispatcher.
struct upstream_info
{
    upstream_id id;
    endpoint address;
    bool leaving = false; ///< Receives no new work; attempts in flight continue.

    auto operator<=>(const upstream_info &) const = default;
};

} // namespace banyan
