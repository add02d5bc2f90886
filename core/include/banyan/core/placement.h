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

/// Largest number of upstreams that share a queue; larger groups are split into shards.
inline constexpr std::size_t maximumCellSize = 16;

/// The upstreams of each cell, including leaving ones.
using cell_map = std::map<cell_id, std::vector<upstream_info>>;

/// Groups the upstreams of the platform's list into cells. A pool that fits one cell gets one cell with an empty domain in
/// its id, whatever its failure domains. A larger pool gets cells for each failure domain, and shared cells with an empty
/// domain for the failure domains with few upstreams. Adding or removing one upstream moves few others.
[[nodiscard]] cell_map assignCells(const vm_list &vms);

/// The node that owns @p cell among @p nodes by rendezvous hashing, preferring nodes of the cell's failure domain;
/// none if @p nodes is empty. Nodes with different views may disagree for some seconds; the only effect is that more
/// requests than the limit are admitted.
[[nodiscard]] std::optional<node_info> ownerOf(const cell_id &cell, std::span<const node_info> nodes);

/// The node with the highest rendezvous weight for @p key, whatever its failure domain; none if @p nodes is empty.
[[nodiscard]] std::optional<node_info> ownerOf(std::string_view key, std::span<const node_info> nodes);

} // namespace banyan
