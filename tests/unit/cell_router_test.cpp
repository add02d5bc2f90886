#include "banyan/core/cell_router.h"

#include <catch2/catch.hpp>

using namespace banyan;

namespace {

constexpr time_point start{std::chrono::hours(1)};
const pool_name pool("advisory");

cell_id cellIn(const std::string &domain)
{
    return {.pool = pool, .domain = failure_domain(domain)};
}

/// A router in domain "a" with one cell in each of the domains "a", "b" and "c".
std::unique_ptr<cell_router> makeRouter()
{
    auto router = std::make_unique<cell_router>(cell_router_options{.localDomain = failure_domain("a")});
    const std::vector<cell_id> cells{cellIn("a"), cellIn("b"), cellIn("c")};
    router->setCells(cells);
    return router;
}

/// The number of requests out of 100 that are routed to @p wanted.
int countOf(cell_router &router, const cell_id &wanted)
{
    int count = 0;
    for (int i = 0; i < 100; ++i) {
        count += router.choose(pool, {}, {}, start) == wanted ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("cell_router prefers its own failure domain while it is not busier")
{
    const auto owner = makeRouter();
    cell_router &router = *owner;
    for (const char *domain : {"a", "b", "c"}) {
        router.recordLoad(cellIn(domain), {.onlineInFlight = 10, .slots = 1000}, start);
    }
    CHECK(countOf(router, cellIn("a")) > 90);
}

TEST_CASE("cell_router prefers remote cells to a busy cell of its own failure domain")
{
    const auto owner = makeRouter();
    cell_router &router = *owner;
    router.recordLoad(cellIn("a"), {.onlineQueued = 900, .onlineInFlight = 1000, .slots = 1000}, start);
    for (const char *domain : {"b", "c"}) {
        router.recordLoad(cellIn(domain), {.onlineInFlight = 10, .slots = 1000}, start);
    }
    CHECK(countOf(router, cellIn("a")) < 50);
}

TEST_CASE("cell_router avoids cells that are unreachable or have no slots unless no others are left")
{
    const auto owner = makeRouter();
    cell_router &router = *owner;
    router.markUnreachable(cellIn("a"), start);
    router.recordLoad(cellIn("b"), {.slots = 0}, start);
    CHECK(countOf(router, cellIn("c")) == 100);
    const std::vector<cell_id> tried{cellIn("c")};
    CHECK(router.choose(pool, {}, tried, start).has_value());
}

TEST_CASE("cell_router does not choose a cell that was already tried")
{
    const auto owner = makeRouter();
    cell_router &router = *owner;
    const std::vector<cell_id> tried{cellIn("a"), cellIn("b"), cellIn("c")};
    CHECK_FALSE(router.choose(pool, {}, tried, start).has_value());
}
