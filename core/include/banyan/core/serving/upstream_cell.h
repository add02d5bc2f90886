#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace banyan {

/// A part of a service's upstreams, small enough for one node to schedule all its requests.
struct upstream_cell
{
    std::uint32_t index = 0;
    std::uint32_t count = 1; ///< Number of cells of the service.

    /// Whether an upstream of the service belongs to the cell.
    [[nodiscard]] bool contains(const upstream_id &upstream) const;

    auto operator<=>(const upstream_cell &) const = default;
};

/// The cell of an upstream whose service has @p count cells.
[[nodiscard]] upstream_cell cellOf(const upstream_id &upstream, std::uint32_t count);

/// Number of cells of a service with @p upstreams upstreams.
[[nodiscard]] std::uint32_t cellCountFor(std::size_t upstreams);

/// The node that schedules the requests of a cell, chosen by rendezvous hashing over @p nodes, which must not be empty.
/// Nodes with different membership views may disagree for a while; both then schedule requests, each using the load
/// reports it has from the other.
[[nodiscard]] const node_id &schedulingNodeOf(const service_name &service, const upstream_cell &cell, std::span<const node_id> nodes);

} // namespace banyan
