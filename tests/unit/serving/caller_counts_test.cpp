#include "banyan/core/serving/caller_counts.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

TEST_CASE("caller_counts counts what became of each caller's runs, and nothing of unknown callers")
{
    caller_counts counts;
    counts.asked(7);
    counts.granted(7, 20ms);
    counts.refused(7, end_reason::Overloaded);
    counts.asked(0);
    REQUIRE(counts.all().size() == 1);
    const caller_count &count = counts.all().at(7);
    CHECK(count.asked == 1);
    CHECK(count.granted == 1);
    CHECK(count.waited == 20ms);
    CHECK(count.refused.at(end_reason::Overloaded) == 1);
}

TEST_CASE("caller_counts counts callers beyond a bound together")
{
    caller_counts counts;
    for (caller_key caller = 1; caller <= 1000; ++caller) {
        counts.asked(caller);
    }
    CHECK(counts.all().size() <= caller_counts::maximumCallers + 1);
    CHECK(counts.all().at(caller_counts::others).asked == 1000 - caller_counts::maximumCallers);
}
