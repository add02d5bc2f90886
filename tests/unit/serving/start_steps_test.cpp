#include "banyan/core/serving/start_steps.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

TEST_CASE("start_steps keeps when each step was reached for the first time")
{
    const time_point start(10s);
    start_steps steps(start);
    CHECK_FALSE(steps.taken(start_step::Ready).has_value());
    CHECK(steps.reach(start_step::Upstreams, start + 20ms));
    CHECK(steps.reach(start_step::Ready, start + 30ms));
    CHECK_FALSE(steps.reach(start_step::Upstreams, start + 5s));
    CHECK(steps.taken(start_step::Upstreams) == duration(20ms));
    CHECK(steps.taken(start_step::Ready) == duration(30ms));
    CHECK_FALSE(steps.taken(start_step::FirstAnswer).has_value());
}
