#include "banyan/core/placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace banyan;

namespace {

vm_entry upstreamVm(int number)
{
    return {.id = vm_id("u" + std::to_string(number)),
            .role = vm_role::Upstream,
            .domain = failure_domain("d" + std::to_string(number % 2)),
            .address = {.address = "127.0.0.1", .port = 9000},
            .pool = pool_name("p")};
}

vm_list upstreamVms(int count)
{
    vm_list result;
    for (int number = 0; number < count; ++number) {
        result.push_back(upstreamVm(number));
    }
    return result;
}

std::map<upstream_id, cell_id> cellOfEach(const cell_map &cells)
{
    std::map<upstream_id, cell_id> result;
    for (const auto &[cell, upstreams] : cells) {
        for (const upstream_info &upstream : upstreams) {
            result.emplace(upstream.id, cell);
        }
    }
    return result;
}

std::vector<node_info> nodes(int count, int domains)
{
    std::vector<node_info> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        result.push_back({.id = node_id("n" + std::to_string(number)), .domain = failure_domain("d" + std::to_string(number % domains))});
    }
    return result;
}

} // namespace

TEST_CASE("each upstream is in one cell of its pool and domain, within the size limit")
{
    rc::prop("each upstream has one cell, no cell exceeds the limit, and the order of the list does not matter", [] {
        const int count = *rc::gen::inRange(0, 700);
        vm_list vms = upstreamVms(count);
        const cell_map cells = assignCells(vms);
        const auto assigned = cellOfEach(cells);
        RC_ASSERT(assigned.size() == vms.size());
        const bool oneCell = vms.size() <= maximumCellSize;
        for (const vm_entry &vm : vms) {
            RC_ASSERT(assigned.at(upstream_id(vm.id.text())).domain == (oneCell ? failure_domain() : vm.domain));
        }
        for (const auto &entry : cells) {
            RC_ASSERT(entry.second.size() <= maximumCellSize);
        }
        std::reverse(vms.begin(), vms.end());
        RC_ASSERT(assignCells(vms) == cells);
    });
}

TEST_CASE("the upstreams of a pool that fits one cell share it regardless of failure domain")
{
    const cell_map cells = assignCells(upstreamVms(3));
    REQUIRE(cells.size() == 1);
    CHECK(cells.begin()->first == cell_id{.pool = pool_name("p")});
    CHECK(cells.begin()->second.size() == 3);
}

TEST_CASE("a failure domain with few upstreams of a large pool shares a cell with others")
{
    vm_list vms = upstreamVms(40);
    vms.push_back(upstreamVm(40));
    vms.back().domain = failure_domain("small");
    CHECK(cellOfEach(assignCells(vms)).at(upstream_id("u40")).domain == failure_domain());
}

TEST_CASE("adding upstreams one by one moves few other upstreams")
{
    // Each domain gets 200 upstreams. Each step may split one shard (12 upstreams on average) and displace a few.
    constexpr int steps = 400;
    int moved = 0;
    auto before = cellOfEach(assignCells(upstreamVms(0)));
    for (int count = 1; count <= steps; ++count) {
        const auto after = cellOfEach(assignCells(upstreamVms(count)));
        moved += static_cast<int>(std::count_if(before.begin(), before.end(), [&](const auto &entry) {
            return after.at(entry.first) != entry.second;
        }));
        before = after;
    }
    CHECK(moved < 4 * steps);
}

TEST_CASE("a cell's owner is in its failure domain while a node runs there, and only a lost node's cells change owner")
{
    rc::prop("removing a node changes the owner of only the cells that it owned", [] {
        const auto before = nodes(*rc::gen::inRange(2, 40), 3);
        const cell_id cell{.pool = pool_name("p"), .domain = failure_domain("d1"), .shard = *rc::gen::inRange<std::uint32_t>(0, 20)};
        const node_info owner = ownerOf(cell, before).value();
        RC_ASSERT(owner.domain == cell.domain);
        auto after = before;
        const auto lost = after.begin() + *rc::gen::inRange<int>(0, static_cast<int>(after.size()));
        const node_info lostNode = *lost;
        after.erase(lost);
        const node_info next = ownerOf(cell, after).value();
        RC_ASSERT(lostNode == owner || next == owner);
        RC_ASSERT(next != lostNode);
    });
}

TEST_CASE("cells are distributed evenly over the nodes of a domain")
{
    const auto all = nodes(10, 1);
    std::map<node_id, int> owned;
    for (std::uint32_t shard = 0; shard < 1000; ++shard) {
        const cell_id cell{.pool = pool_name("p"), .domain = failure_domain("d0"), .shard = shard};
        ++owned[ownerOf(cell, all).value().id];
    }
    for (const node_info &node : all) {
        CHECK(owned[node.id] > 60);
        CHECK(owned[node.id] < 150);
    }
}

TEST_CASE("a key has no owner if there are no nodes")
{
    CHECK_FALSE(ownerOf("key", {}).has_value());
}
