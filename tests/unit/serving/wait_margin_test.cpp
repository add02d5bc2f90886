#include "serving/wait_margin.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

TEST_CASE("wait_margin grows with each run that expires, up to a bound, and shrinks while none does")
{
    wait_margin margin;
    CHECK(margin.at(time_point(1s)) == 0ms);
    margin.expired(time_point(1s));
    const duration afterOne = margin.at(time_point(1s));
    CHECK(afterOne > 0ms);
    for (int run = 0; run < 1000; ++run) {
        margin.expired(time_point(1s));
    }
    const duration afterMany = margin.at(time_point(1s));
    CHECK(afterMany > afterOne);
    CHECK(afterMany <= 200ms);
    CHECK(margin.at(time_point(6s)) < 1ms);
}
