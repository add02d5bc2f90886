#pragma once

#include "banyan/core/cell_id.h"
#include "banyan/core/node_info.h"
#include "banyan/core/upstream_info.h"
#include "banyan/core/vm_entry.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace banyan {

/// Upstreams that share a queue at most; more make another shard.
inline constexpr std::size_t maximumCellSize = 16;

/// Cells with their upstreams, leaving ones included.
using cell_map = std::map<cell_id, std::vector<upstream_info>>;

/// Groups the upstreams of the platform's list into cells. A pool that fits one cell is one, whatever the failure domains;
/// a larger one has cells for each failure domain, and one for domains with few upstreams (empty domain in its id).
/// Adding or removing one upstream moves few others.
[[nodiscard]] cell_map assignCells(const vm_list &vms);

/// The node that owns @p cell among @p nodes by rendezvous hashing, preferring nodes of the cell's failure domain;
/// none if @p nodes is empty. Nodes whose views differ may disagree for some seconds; that over-admits and does no
/// other harm.
[[nodiscard]] std::optional<node_info> ownerOf(const cell_id &cell, std::span<const node_info> nodes);

/// The node with the highest rendezvous weight for @p key, whatever its failure domain; none if @p nodes is empty.
[[nodiscard]] std::optional<node_info> ownerOf(std::string_view key, std::span<const node_info> nodes);

} // namespace banyan
