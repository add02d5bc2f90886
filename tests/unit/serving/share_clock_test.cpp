#include "serving/share_clock.h"

#include <catch2/catch.hpp>

using namespace banyan;

TEST_CASE("share_clock lets callers take turns by cost, and gives nothing for a time without work")
{
    share_clock shares;
    shares.served(1, 3);
    CHECK(shares.startOf(2) < shares.startOf(1));
    shares.served(2, 1);
    shares.served(2, 1);
    shares.served(2, 1);
    shares.served(2, 1);
    CHECK(shares.startOf(1) < shares.startOf(2));
    // A caller that was away has no claim on what the others have had meanwhile.
    CHECK(shares.startOf(3) == shares.startOf(1));
    shares.reset();
    CHECK(shares.startOf(1) == shares.startOf(2));
}
