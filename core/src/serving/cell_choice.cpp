#include "banyan/core/serving/cell_choice.h"

#include <algorithm>
#include <vector>

namespace banyan {

namespace {

/// The share of a cell's slots that a run cannot use.
double usedShare(const cell_load &load, work_class workClass)
{
    const std::uint32_t used = workClass == work_class::Online ? load.online : load.online + load.batch;
    return static_cast<double>(used) / std::max(1U, load.slots);
}

} // namespace

upstream_cell chooseCell(std::span<const cell_load> cells, work_class workClass, std::mt19937_64 &generator)
{
    std::vector<double> weights;
    for (const cell_load &load : cells) {
        weights.push_back(std::max(1U, load.slots));
    }
    std::discrete_distribution<std::size_t> any(weights.begin(), weights.end());
    const cell_load &first = cells[any(generator)];
    const cell_load &second = cells[any(generator)];
    return usedShare(first, workClass) <= usedShare(second, workClass) ? first.cell : second.cell;
}

} // namespace banyan
