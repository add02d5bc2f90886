#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace banyan {

/// One of the parts into which a service's upstreams are divided, so that one node can place all requests of a part.
struct upstream_cell
{
    std::uint32_t index = 0;
    std::uint32_t count = 1; ///< Cells of the service.

    /// Whether an upstream of the service belongs to the cell.
    [[nodiscard]] bool contains(const upstream_id &upstream) const;

    auto operator<=>(const upstream_cell &) const = default;
};

/// The cell of an upstream whose service has so many cells.
[[nodiscard]] upstream_cell cellOf(const upstream_id &upstream, std::uint32_t count);

/// How many cells a service with so many upstreams has.
[[nodiscard]] std::uint32_t cellCountFor(std::size_t upstreams);

/// The node that places the requests of a cell: by rendezvous hashing over @p nodes, which must not be empty. Nodes that
/// know different nodes may disagree for a while; both then place requests by what they know of each other.
[[nodiscard]] const node_id &schedulingNodeOf(const service_name &service, const upstream_cell &cell, std::span<const node_id> nodes);

} // namespace banyan
