#include "serving/run_cost.h"

#include <catch2/catch.hpp>

using namespace banyan;

TEST_CASE("stated_cost counts a run without a stated size as one, and others over their average")
{
    stated_cost costs;
    CHECK(costs.costOf({}) == 1);
    slot_request usual{.size = {.promptTokens = 400, .maximumOutputTokens = 100}};
    CHECK(costs.costOf(usual) == Approx(1));
    slot_request large{.size = {.promptTokens = 400, .maximumOutputTokens = 500}};
    CHECK(costs.costOf(large) > 3);
    slot_request endless{.size = {.maximumOutputTokens = 4000000000}};
    CHECK(costs.costOf(endless) <= 10);
    CHECK(costs.costOf(usual) > 0);
}
