#include "banyan/core/serving/limit_shares.h"

#include "banyan/core/serving/upstream_cell.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};
const node_id first("n1");
const node_id second("n2");
const cell_key cell = keyOf(service_name("s"), upstream_cell());

limit_shares sharesOf(const node_id &self, std::size_t nodes = 4)
{
    limit_shares shares({.self = self, .leaseTime = 600ms, .transitTime = 100ms});
    shares.setNodeCount(nodes);
    return shares;
}

} // namespace

TEST_CASE("limit_shares gives a node its own share while it claims slots from itself")
{
    limit_shares shares = sharesOf(first);
    CHECK(shares.shareOf(cell, start) == 0);
    CHECK(shares.renew({{cell, first}}, start).empty());
    CHECK(shares.shareOf(cell, start) == 0.25);
    CHECK(shares.shareOf(cell + 1, start) == 0);
}

TEST_CASE("limit_shares gives a node no share before it knows how many nodes there are")
{
    limit_shares shares = sharesOf(first, 0);
    CHECK(shares.renew({{cell, first}}, start).empty());
    CHECK(shares.shareOf(cell, start) == 0);
}

TEST_CASE("limit_shares leaves a share that is leased to the holder of the lease until it has run out")
{
    limit_shares owner = sharesOf(first);
    limit_shares holder = sharesOf(second);
    const std::vector<share_lease> leases = owner.renew({{cell, second}}, start);
    REQUIRE(leases.size() == 1);
    holder.record(first, leases, start + 50ms);
    CHECK(holder.shareOf(cell, start + 50ms) == 0.25);
    CHECK(holder.shareOf(cell, start + 649ms) == 0.25);
    CHECK(holder.shareOf(cell, start + 650ms) == 0);
    // The owner claims from itself again, but waits for its lease.
    CHECK(owner.renew({{cell, first}}, start + 300ms).empty());
    CHECK(owner.shareOf(cell, start + 300ms) == 0);
    CHECK(owner.renew({{cell, first}}, start + 700ms).empty());
    CHECK(owner.shareOf(cell, start + 700ms) == 0.25);
}

TEST_CASE("limit_shares leases a share to another node only after the lease to the one before has run out")
{
    limit_shares owner = sharesOf(first);
    CHECK(owner.renew({{cell, second}}, start).size() == 1);
    CHECK(owner.renew({{cell, node_id("n3")}}, start + 699ms).empty());
    const std::vector<share_lease> leases = owner.renew({{cell, node_id("n3")}}, start + 700ms);
    REQUIRE(leases.size() == 1);
    CHECK(leases.front().holder == keyOf(node_id("n3")));
}

TEST_CASE("limit_shares renews a lease with each report, and takes it back with one that does not name it")
{
    limit_shares owner = sharesOf(first);
    limit_shares holder = sharesOf(second);
    for (int report = 0; report < 10; ++report) {
        const time_point now = start + report * 250ms;
        holder.record(first, owner.renew({{cell, second}}, now), now);
        CHECK(holder.shareOf(cell, now + 249ms) == 0.25);
    }
    holder.record(first, {}, start + 2500ms);
    CHECK(holder.shareOf(cell, start + 2500ms) == 0);
}

TEST_CASE("limit_shares uses the whole limit at most, also with more leases than registered nodes")
{
    limit_shares holder = sharesOf(first, 2);
    CHECK(holder.renew({{cell, first}}, start).empty());
    for (int node = 0; node < 5; ++node) {
        const share_lease lease{.cell = cell, .holder = keyOf(first)};
        holder.record(node_id("other-" + std::to_string(node)), {&lease, 1}, start);
    }
    CHECK(holder.shareOf(cell, start) == 1);
}
