#include "banyan/core/serving/item_progress.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

item_progress progressWith(std::uint32_t failures)
{
    return item_progress({.maximumFailures = failures, .giveUpAt = start + 60s});
}

stream_event event(std::uint64_t id, const std::string &data)
{
    return {.id = id, .data = data};
}

} // namespace

TEST_CASE("item_progress joins the events of several runs without a gap or a repeat")
{
    item_progress progress = progressWith(3);
    CHECK(progress.event(event(1, "a")));
    CHECK(progress.event(event(2, "b")));
    CHECK(progress.ended(attempt_outcome::Lost, start) == item_step::RunAgain);
    CHECK(progress.resumeAfter() == 2);
    CHECK(progress.event(event(2, "b")));
    CHECK(progress.event(event(3, "c")));
    CHECK(progress.ended(attempt_outcome::Succeeded, start) == item_step::Succeeded);
    CHECK(progress.output() == "a\nb\nc");
}

TEST_CASE("item_progress refuses a run that leaves events out")
{
    item_progress progress = progressWith(3);
    CHECK(progress.event(event(1, "a")));
    CHECK_FALSE(progress.event(event(3, "c")));
    CHECK(progress.output() == "a");
}

TEST_CASE("item_progress gives an item up after as many reported failures as its route allows, and not after lost runs")
{
    item_progress progress = progressWith(3);
    for (int lost = 0; lost < 10; ++lost) {
        CHECK(progress.ended(attempt_outcome::Lost, start) == item_step::RunAgain);
    }
    CHECK(progress.ended(attempt_outcome::Failed, start) == item_step::RunAgain);
    CHECK(progress.ended(attempt_outcome::Failed, start) == item_step::RunAgain);
    CHECK(progress.ended(attempt_outcome::Failed, start) == item_step::Errored);
}

TEST_CASE("item_progress gives an item up at once if it can never be done, and at the end of its retention")
{
    CHECK(progressWith(3).ended(attempt_outcome::Answered, start) == item_step::Errored);
    CHECK(progressWith(3).ended(attempt_outcome::Lost, start + 60s) == item_step::Errored);
}

TEST_CASE("item_progress waits longer after each run without progress, and not after one that gave its slot back")
{
    item_progress progress = progressWith(3);
    CHECK(progress.ended(attempt_outcome::Cancelled, start) == item_step::RunAgain);
    CHECK(progress.delay() == 0ms);
    CHECK(progress.ended(attempt_outcome::NotSent, start) == item_step::RunAgain);
    CHECK(progress.delay() == 50ms);
    CHECK(progress.ended(attempt_outcome::NotSent, start) == item_step::RunAgain);
    CHECK(progress.delay() == 100ms);
    CHECK(progress.event(event(1, "a")));
    CHECK(progress.delay() == 0ms);
}
