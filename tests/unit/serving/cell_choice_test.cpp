#include "banyan/core/serving/cell_choice.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace banyan;

namespace {

/// Chooses often; returns the share of each cell.
std::map<std::uint32_t, double> sharesOf(const std::vector<cell_load> &cells, work_class workClass)
{
    constexpr int draws = 4000;
    std::mt19937_64 generator(1);
    std::map<std::uint32_t, double> shares;
    for (int draw = 0; draw < draws; ++draw) {
        shares[chooseCell(cells, workClass, generator).index] += 1.0 / draws;
    }
    return shares;
}

cell_load cell(std::uint32_t index, std::uint32_t slots, std::uint32_t online, std::uint32_t batch)
{
    return {.cell = {.index = index, .count = 2}, .slots = slots, .online = online, .batch = batch};
}

} // namespace

TEST_CASE("chooseCell sends online work where batch work can give way, and not where online work holds all slots")
{
    const std::vector<cell_load> cells{cell(0, 100, 100, 0), cell(1, 100, 40, 60)};
    CHECK(sharesOf(cells, work_class::Online)[1] > 0.7); // Both draws hit the full cell in a quarter of the cases.
}

TEST_CASE("chooseCell spreads work by the size of the cells while all are equally full")
{
    const std::vector<cell_load> cells{cell(0, 300, 300, 0), cell(1, 100, 100, 0)};
    // The first of two draws counts where both cells are equally full.
    CHECK(sharesOf(cells, work_class::Online)[0] == Approx(0.75).margin(0.03));
    CHECK(sharesOf(cells, work_class::Batch)[0] == Approx(0.75).margin(0.03));
}

TEST_CASE("chooseCell sends batch work where slots are free")
{
    const std::vector<cell_load> cells{cell(0, 100, 10, 90), cell(1, 100, 50, 0)};
    CHECK(sharesOf(cells, work_class::Batch)[1] > 0.7);
}
