#include "banyan/core/serving/item_progress.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

item_progress progressWith(std::uint32_t failures)
{
    return item_progress({.maximumFailures = failures, .expiresAt = start + 60s});
}

stream_event event(std::uint64_t id, const std::string &data)
{
    return {.id = id, .data = data};
}

} // namespace

TEST_CASE("item_progress joins the events of several runs without a gap or a repeat")
{
    item_progress progress = progressWith(3);
    CHECK(progress.addEvent(event(1, "a")));
    CHECK(progress.addEvent(event(2, "b")));
    CHECK(progress.finishRun(attempt_outcome::Lost, start) == item_step::RunAgain);
    CHECK(progress.resumeAfter() == 2);
    CHECK(progress.addEvent(event(2, "b")));
    CHECK(progress.addEvent(event(3, "c")));
    CHECK(progress.finishRun(attempt_outcome::Succeeded, start) == item_step::Succeeded);
    CHECK(progress.output() == "a\nb\nc");
}

TEST_CASE("item_progress rejects a run that omits events")
{
    item_progress progress = progressWith(3);
    CHECK(progress.addEvent(event(1, "a")));
    CHECK_FALSE(progress.addEvent(event(3, "c")));
    CHECK(progress.output() == "a");
}

TEST_CASE("item_progress abandons an item after as many reported failures as its route allows, and not after lost runs")
{
    item_progress progress = progressWith(3);
    for (int lost = 0; lost < 10; ++lost) {
        CHECK(progress.finishRun(attempt_outcome::Lost, start) == item_step::RunAgain);
    }
    CHECK(progress.finishRun(attempt_outcome::Failed, start) == item_step::RunAgain);
    CHECK(progress.finishRun(attempt_outcome::Failed, start) == item_step::RunAgain);
    CHECK(progress.finishRun(attempt_outcome::Failed, start) == item_step::Errored);
}

TEST_CASE("item_progress abandons an item at once if it can never succeed, and when it expires")
{
    CHECK(progressWith(3).finishRun(attempt_outcome::Answered, start) == item_step::Errored);
    CHECK(progressWith(3).finishRun(attempt_outcome::Lost, start + 60s) == item_step::Errored);
}

TEST_CASE("item_progress waits longer after each run without progress, but not after one that released its slot")
{
    item_progress progress = progressWith(3);
    CHECK(progress.finishRun(attempt_outcome::Cancelled, start) == item_step::RunAgain);
    CHECK(progress.retryDelay() == 0ms);
    CHECK(progress.finishRun(attempt_outcome::NotSent, start) == item_step::RunAgain);
    CHECK(progress.retryDelay() == 50ms);
    CHECK(progress.finishRun(attempt_outcome::NotSent, start) == item_step::RunAgain);
    CHECK(progress.retryDelay() == 100ms);
    CHECK(progress.addEvent(event(1, "a")));
    CHECK(progress.retryDelay() == 0ms);
}

TEST_CASE("item_progress begins anew after a lost run whose events have no ids")
{
    item_progress progress = progressWith(3);
    CHECK(progress.addEvent({.id = std::nullopt, .data = "a"}));
    CHECK(progress.finishRun(attempt_outcome::Lost, start) == item_step::RunAgain);
    CHECK_FALSE(progress.resumeAfter().has_value());
    CHECK(progress.addEvent({.id = std::nullopt, .data = "a"}));
    CHECK(progress.addEvent({.id = std::nullopt, .data = "b"}));
    CHECK(progress.finishRun(attempt_outcome::Succeeded, start) == item_step::Succeeded);
    CHECK(progress.output() == "a\nb");
}

TEST_CASE("item_progress gives a waiting item up when it expires, but not before it has waited for some seconds")
{
    const item_progress progress = progressWith(3);
    CHECK(progress.waitEndsAt(start) == start + 60s);
    CHECK(progress.waitEndsAt(start + 58s) == start + 63s);
    CHECK(progress.waitEndsAt(start + 90s) == start + 95s); // Of a job that was taken over late.
}

TEST_CASE("item_progress takes its options from the configuration in force")
{
    item_progress progress = progressWith(3);
    CHECK(progress.finishRun(attempt_outcome::Failed, start) == item_step::RunAgain);
    progress.setOptions({.maximumFailures = 2, .expiresAt = start + 10s});
    CHECK(progress.waitEndsAt(start) == start + 10s);
    CHECK(progress.finishRun(attempt_outcome::Failed, start) == item_step::Errored);
}
