#include "banyan/core/token_bucket.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

TEST_CASE("token_bucket that starts empty fills at its rate up to its burst")
{
    const time_point start = time_point() + 1h;
    token_bucket bucket = token_bucket::startingEmpty(2, 3, start);
    CHECK_FALSE(bucket.take(start));
    CHECK(bucket.available(start + 500ms) == Approx(1));
    CHECK(bucket.whenAvailable(1) == start + 500ms);
    CHECK(bucket.available(start + 1h) == Approx(3));
}

TEST_CASE("token_bucket without a rate never has a token, and keeps what it has when its rate changes")
{
    const time_point start = time_point() + 1h;
    token_bucket bucket = token_bucket::startingEmpty(0, 2, start);
    CHECK(bucket.whenAvailable(1) == time_point::max());
    CHECK(bucket.whenAvailable(3) == time_point::max());
    bucket.setRate(2, 2, start + 1s);
    bucket.setRate(0, 2, start + 2s);
    CHECK(bucket.available(start + 1h) == Approx(2));
    bucket.setRate(0, 1, start + 1h);
    CHECK(bucket.available(start + 1h) == Approx(1));
}

TEST_CASE("token_bucket that has been overspent makes up for it")
{
    const time_point start = time_point() + 1h;
    token_bucket bucket = token_bucket::startingEmpty(1, 1, start);
    bucket.spend(start);
    CHECK_FALSE(bucket.take(start + 1s));
    CHECK(bucket.take(start + 2s));
}
