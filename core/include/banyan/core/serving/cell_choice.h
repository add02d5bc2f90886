#pragma once

#include "banyan/core/serving/upstream_cell.h"
#include "banyan/core/work_class.h"

#include <compare>
#include <cstdint>
#include <random>
#include <span>

namespace banyan {

/// What the upstreams of a cell run, as a node that is not its scheduling node knows it.
struct cell_load
{
    upstream_cell cell;
    std::uint32_t slots = 0; ///< Of upstreams that accept new work and that no node sees as degraded.
    std::uint32_t online = 0; ///< Online runs at these upstreams.
    std::uint32_t batch = 0; ///< Batch runs at these upstreams.

    auto operator<=>(const cell_load &) const = default;
};

/// Chooses the cell that a run is scheduled in.
///
/// Load pattern: cells differ in size, and batch work fills whatever online work leaves. Of two cells that are drawn by their slots,
/// an online run goes to the one where online work holds the smaller share, since batch work gives way to it; a batch run goes to
/// the one with the larger share of free slots. So no cell refuses online work while another one runs batch work.
///
/// @p cells must not be empty.
[[nodiscard]] upstream_cell chooseCell(std::span<const cell_load> cells, work_class workClass, std::mt19937_64 &generator);

} // namespace banyan
