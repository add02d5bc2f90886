#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <cstdint>

namespace banyan {

struct upstream_cell;

using cell_key = std::uint32_t; ///< Hash of a service's name and one of its cells.
using node_key = std::uint32_t; ///< Hash of a node's id.

/// Lets a node use the sender's share of the rate limits of a cell's upstreams for the time of a lease.
struct share_lease
{
    cell_key cell = 0;
    node_key holder = 0;

    auto operator<=>(const share_lease &) const = default;
};

/// The key of a cell in leases.
[[nodiscard]] cell_key keyOf(const service_name &service, const upstream_cell &cell);

/// The key of a node in leases.
[[nodiscard]] node_key keyOf(const node_id &node);

} // namespace banyan
