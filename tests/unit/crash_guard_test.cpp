#include "banyan/core/crash_guard.h"

#include <catch2/catch.hpp>

using namespace banyan;

namespace {

constexpr time_point start{};
constexpr std::uint64_t content = 7;

upstream_id upstreamNumber(int number)
{
    return upstream_id("u" + std::to_string(number));
}

} // namespace

TEST_CASE("crash_guard quarantines a content for the configured duration after two lost upstreams")
{
    crash_guard guard({.quarantineDuration = std::chrono::minutes(10)});
    guard.setUpstreamCount(8);
    CHECK(guard.recordLoss(content, upstreamNumber(1), start) == loss_verdict::Counted);
    CHECK(guard.isSuspect(content, start));
    CHECK(guard.recordLoss(content, upstreamNumber(2), start) == loss_verdict::Quarantined);
    CHECK(guard.quarantinedUntil(content, start) == start + std::chrono::minutes(10));
    CHECK_FALSE(guard.quarantinedUntil(content, start + std::chrono::minutes(10)).has_value());
}

TEST_CASE("crash_guard clears a suspect that was answered")
{
    crash_guard guard({});
    guard.setUpstreamCount(8);
    CHECK(guard.recordLoss(content, upstreamNumber(1), start) == loss_verdict::Counted);
    guard.recordAnswer(content, start);
    const time_point later = start + crash_guard_options().exemptionDuration;
    CHECK(guard.recordLoss(content, upstreamNumber(2), later) == loss_verdict::Counted);
}

TEST_CASE("crash_guard quarantines no content when half of a cell is lost at once")
{
    crash_guard guard({});
    guard.setUpstreamCount(6);
    guard.recordLoss(content, upstreamNumber(1), start);
    guard.recordLoss(content, upstreamNumber(2), start);
    guard.recordLoss(content + 1, upstreamNumber(3), start + std::chrono::milliseconds(500));
    CHECK_FALSE(guard.quarantinedUntil(content, start + std::chrono::seconds(1)).has_value());
    CHECK_FALSE(guard.isSuspect(content + 1, start + std::chrono::seconds(1)));
}

TEST_CASE("crash_guard lists the contents quarantined by other nodes")
{
    crash_guard guard({});
    const time_point until = start + std::chrono::minutes(3);
    guard.quarantine(content, until, start);
    CHECK(guard.quarantined(start) == std::vector<quarantined_fingerprint>{{.fingerprint = content, .until = until}});
    CHECK(guard.quarantined(until).empty());
}

TEST_CASE("crash_guard keeps a content quarantined while more upstreams are lost")
{
    crash_guard guard({.quarantineThreshold = 3});
    guard.setUpstreamCount(8);
    for (int number = 1; number <= 3; ++number) {
        guard.recordLoss(content, upstreamNumber(number), start);
    }
    REQUIRE(guard.quarantinedUntil(content, start).has_value());
    for (int number = 4; number <= 6; ++number) {
        guard.recordLoss(content + 1, upstreamNumber(number), start + std::chrono::milliseconds(500));
    }
    CHECK(guard.quarantinedUntil(content, start + std::chrono::seconds(1)).has_value());
}

TEST_CASE("crash_guard finds contents that together crash most upstreams within seconds")
{
    constexpr int contents = 3;
    crash_guard guard({.quarantineThreshold = 3});
    guard.setUpstreamCount(13);
    for (int loss = 0; loss < 4 * contents; ++loss) {
        const std::uint64_t fingerprint = content + static_cast<std::uint64_t>(loss % contents);
        guard.recordLoss(fingerprint, upstreamNumber(loss), start + loss * std::chrono::milliseconds(100));
    }
    for (std::uint64_t number = 0; number < contents; ++number) {
        INFO("content " << number);
        CHECK(guard.quarantinedUntil(content + number, start + std::chrono::seconds(2)).has_value());
    }
}

TEST_CASE("crash_guard does not lift quarantines of other nodes in a mass loss")
{
    crash_guard guard({.quarantineThreshold = 3});
    guard.setUpstreamCount(6);
    guard.quarantine(content, start + std::chrono::seconds(60), start);
    for (int number = 1; number <= 4; ++number) {
        guard.recordLoss(content + static_cast<std::uint64_t>(number % 2), upstreamNumber(number), start);
    }
    CHECK(guard.quarantinedUntil(content, start + std::chrono::seconds(1)).has_value());
}

TEST_CASE("crash_guard quarantines a content again after one more loss, for twice as long, when its quarantine has ended")
{
    const duration memory = std::chrono::seconds(60);
    crash_guard guard({.quarantineThreshold = 3, .quarantineDuration = memory});
    guard.setUpstreamCount(20);
    for (int number = 1; number <= 3; ++number) {
        guard.recordLoss(content, upstreamNumber(number), start);
    }
    const time_point later = start + memory + std::chrono::seconds(1);
    REQUIRE_FALSE(guard.quarantinedUntil(content, later).has_value());
    CHECK(guard.recordLoss(content, upstreamNumber(1), later) == loss_verdict::Quarantined);
    CHECK(guard.quarantinedUntil(content, later) == later + 2 * memory);
}

TEST_CASE("crash_guard clears a content whose quarantine has ended when it is answered")
{
    const duration memory = std::chrono::seconds(60);
    crash_guard guard({.quarantineThreshold = 3, .quarantineDuration = memory});
    guard.setUpstreamCount(20);
    for (int number = 1; number <= 3; ++number) {
        guard.recordLoss(content, upstreamNumber(number), start);
    }
    const time_point later = start + memory + std::chrono::seconds(1);
    guard.recordAnswer(content, later);
    CHECK(guard.recordLoss(content, upstreamNumber(4), later + crash_guard_options().exemptionDuration) == loss_verdict::Counted);
}

TEST_CASE("crash_guard keeps a quarantine despite the losses of other contents")
{
    crash_guard guard({.quarantineThreshold = 3, .maximumEntries = 100});
    guard.setUpstreamCount(1000);
    for (int number = 1; number <= 3; ++number) {
        guard.recordLoss(content, upstreamNumber(number), start);
    }
    for (int other = 0; other < 1000; ++other) {
        guard.recordLoss(content + 1 + static_cast<std::uint64_t>(other), upstreamNumber(4), start);
    }
    CHECK(guard.quarantinedUntil(content, start).has_value());
}

TEST_CASE("crash_guard does not attribute losses to a content that was answered a moment ago")
{
    crash_guard guard({.quarantineThreshold = 3, .exemptionDuration = std::chrono::seconds(10)});
    guard.setUpstreamCount(100);
    guard.recordAnswer(content, start);
    const time_point soon = start + std::chrono::seconds(9);
    for (int number = 1; number <= 5; ++number) {
        CHECK(guard.recordLoss(content, upstreamNumber(number), soon) == loss_verdict::Exempt);
    }
    guard.quarantine(content, soon + std::chrono::seconds(60), soon);
    CHECK_FALSE(guard.quarantinedUntil(content, soon).has_value());
    const time_point later = start + std::chrono::seconds(10);
    for (int number = 1; number <= 3; ++number) {
        guard.recordLoss(content, upstreamNumber(number), later);
    }
    CHECK(guard.quarantinedUntil(content, later).has_value());
}

TEST_CASE("crash_guard counts attempts without an answer once the end of their upstream is reported")
{
    crash_guard guard({.quarantineThreshold = 3, .unansweredRetention = std::chrono::seconds(10)});
    guard.setUpstreamCount(20);
    guard.recordUnanswered(content, upstreamNumber(1), start);
    guard.recordUnanswered(content, upstreamNumber(1), start);
    guard.recordUnanswered(content + 1, upstreamNumber(2), start);
    CHECK(guard.lossCount(content) == 0);
    const time_point soon = start + std::chrono::seconds(9);
    CHECK(guard.takeUnanswered(upstreamNumber(1), soon) == std::vector<std::uint64_t>{content});
    CHECK(guard.takeUnanswered(upstreamNumber(1), soon).empty());
    CHECK(guard.takeUnanswered(upstreamNumber(2), start + std::chrono::seconds(11)).empty());
}

// Guards against refusing a sound content for a minute after connections to running upstreams were reset.
TEST_CASE("crash_guard ends a quarantine when the upstreams that seemed to have crashed prove to run on")
{
    crash_guard guard({.quarantineThreshold = 3});
    guard.setUpstreamCount(20);
    for (int number = 1; number <= 3; ++number) {
        guard.recordLoss(content, upstreamNumber(number), start);
    }
    REQUIRE(guard.quarantinedUntil(content, start));
    CHECK(guard.recordAlive(upstreamNumber(1), start).empty()); // It may have crashed at that moment.
    REQUIRE(guard.quarantinedUntil(content, start));
    const time_point later = start + std::chrono::seconds(1);
    CHECK(guard.recordAlive(upstreamNumber(1), later) == std::vector<std::uint64_t>{content});
    CHECK_FALSE(guard.quarantinedUntil(content, later));
    CHECK(guard.lossCount(content) == 2);
    CHECK(guard.recordLoss(content, upstreamNumber(4), later) == loss_verdict::Quarantined);
}

TEST_CASE("crash_guard ends the renewal of a quarantine when the only loss behind it is refuted")
{
    crash_guard guard({.quarantineThreshold = 3, .quarantineDuration = std::chrono::seconds(60)});
    guard.setUpstreamCount(20);
    for (int number = 1; number <= 3; ++number) {
        guard.recordLoss(content, upstreamNumber(number), start);
    }
    const time_point ended = start + std::chrono::seconds(61);
    REQUIRE(guard.recordLoss(content, upstreamNumber(4), ended) == loss_verdict::Quarantined);
    const time_point later = ended + std::chrono::seconds(1);
    (void)guard.recordAlive(upstreamNumber(4), later);
    CHECK_FALSE(guard.quarantinedUntil(content, later));
}

TEST_CASE("crash_guard ends the quarantine of another node when that one withdraws it, and not its own")
{
    crash_guard guard({.quarantineThreshold = 1});
    guard.setUpstreamCount(20);
    guard.quarantine(content, start + std::chrono::minutes(1), start);
    guard.withdraw(content);
    CHECK_FALSE(guard.quarantinedUntil(content, start));
    guard.recordLoss(content, upstreamNumber(1), start);
    guard.withdraw(content);
    CHECK(guard.quarantinedUntil(content, start));
}
