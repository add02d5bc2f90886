#include "banyan/core/serving/part_guard.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t deadly = 66;
constexpr std::uint64_t first = 1; ///< The part that most requests begin with.
constexpr std::uint64_t sound = 7;

/// A guard and a clock. Each run has a content of its own, each loss an upstream of its own, unless said otherwise.
struct guard_fixture
{
    part_guard guard{{}};
    time_point now{1h};

    prompt_run runOf(std::vector<std::uint64_t> parts)
    {
        return {.content = ++m_contents, .parts = std::move(parts)};
    }

    /// A new upstream crashes while it begins to answer runs with these parts. Returns the parts that are stopped.
    std::vector<std::uint64_t> crash(const std::vector<std::vector<std::uint64_t>> &runs)
    {
        ++m_upstreams;
        std::vector<std::uint64_t> stopped;
        for (const std::vector<std::uint64_t> &parts : runs) {
            for (const std::uint64_t part : guard.recordLoss(runOf(parts), m_upstreams, now)) {
                stopped.push_back(part);
            }
        }
        return stopped;
    }

    /// Whether a request with these parts is rejected.
    [[nodiscard]] bool isStopped(std::vector<std::uint64_t> parts) const
    {
        return guard.stoppedUntil({.parts = std::move(parts)}, now).has_value();
    }

    upstream_key lastUpstream() const
    {
        return m_upstreams;
    }

private:
    std::uint64_t m_contents = 0;
    upstream_key m_upstreams = 0;
};

} // namespace

TEST_CASE("part_guard stops the part that crashes upstreams, and not the one that its requests begin with")
{
    guard_fixture fixture;
    fixture.guard.recordProof(fixture.runOf({first, sound}), fixture.now);
    CHECK(fixture.crash({{first, deadly}}).empty());
    CHECK(fixture.crash({{first, deadly}}).empty());
    CHECK(fixture.crash({{first, deadly}}) == std::vector<std::uint64_t>{deadly});
    CHECK(fixture.isStopped({deadly}));
    CHECK_FALSE(fixture.isStopped({first}));
    CHECK_FALSE(fixture.isStopped({sound}));
}

TEST_CASE("part_guard does not stop a sound part that was lost beside the one that crashes upstreams")
{
    guard_fixture fixture;
    fixture.guard.recordProof(fixture.runOf({first}), fixture.now);
    (void)fixture.crash({{first, deadly}, {first, sound}});
    (void)fixture.crash({{first, sound}, {first, deadly}});
    CHECK(fixture.guard.lossCount(sound) == 2);
    (void)fixture.crash({{first, deadly}});
    REQUIRE(fixture.isStopped({deadly}));
    CHECK(fixture.guard.lossCount(sound) == 0); // The stopped part explains these losses.
    // Reports of the same crashes that arrive later do not count either.
    const part_loss late{.part = sound, .content = 99, .upstream = fixture.lastUpstream()};
    (void)fixture.guard.recordRemoteLosses({late}, false, fixture.now);
    CHECK(fixture.guard.lossCount(sound) == 0);
    CHECK_FALSE(fixture.isStopped({sound}));
}

TEST_CASE("part_guard stops parts that cannot be told apart together, until a request with one of them tells")
{
    guard_fixture fixture;
    CHECK(fixture.crash({{first, deadly}}).empty());
    CHECK(fixture.crash({{first, deadly}}).empty());
    CHECK(fixture.crash({{first, deadly}}) == std::vector<std::uint64_t>{first, deadly});
    REQUIRE(fixture.isStopped({deadly, sound, first}));
    CHECK_FALSE(fixture.isStopped({first, sound}));
    CHECK_FALSE(fixture.isStopped({deadly}));
    SECTION("one is answered")
    {
        fixture.guard.recordProof(fixture.runOf({first, sound}), fixture.now);
        CHECK(fixture.isStopped({deadly}));
        CHECK(fixture.guard.proofsToReport(fixture.now) == std::vector<std::uint64_t>{first});
    }
    SECTION("one crashes upstreams without the other")
    {
        CHECK(fixture.crash({{deadly}, {sound}}).empty());
        CHECK(fixture.crash({{deadly}}) == std::vector<std::uint64_t>{deadly});
        CHECK(fixture.isStopped({deadly}));
    }
    SECTION("one is lost once, beside a run with both")
    {
        CHECK(fixture.crash({{first, sound}, {first, deadly}}).empty());
        CHECK(fixture.isStopped({first, deadly}));
        CHECK(fixture.guard.lossCount(first) == 0);
    }
    SECTION("both crash an upstream again after the stop has ended")
    {
        fixture.now += 61s;
        CHECK(fixture.crash({{first, sound}}).empty());
        CHECK(fixture.crash({{first, deadly}}).empty());
        fixture.guard.recordProof(fixture.runOf({first}), fixture.now);
        CHECK(fixture.crash({{first, deadly}}) == std::vector<std::uint64_t>{deadly});
    }
    SECTION("another node has answered one")
    {
        fixture.guard.recordRemoteProofs({first}, false, fixture.now);
        CHECK(fixture.isStopped({deadly}));
    }
    CHECK_FALSE(fixture.isStopped({first, sound}));
}

TEST_CASE("part_guard does not blame parts for a single content, which the crash_guard stops")
{
    guard_fixture fixture;
    const prompt_run same = fixture.runOf({first, sound});
    for (upstream_key upstream = 1; upstream <= 8; ++upstream) {
        CHECK(fixture.guard.recordLoss(same, upstream, fixture.now).empty());
    }
    CHECK_FALSE(fixture.isStopped({sound}));
}

TEST_CASE("part_guard does not blame parts that were answered lately for an outage of many upstreams")
{
    guard_fixture fixture;
    fixture.guard.recordProof(fixture.runOf({first, sound}), fixture.now);
    for (int crash = 0; crash < 20; ++crash) {
        CHECK(fixture.crash({{first, sound}}).empty());
    }
    fixture.now += 11s;
    (void)fixture.crash({{first, deadly}});
    CHECK(fixture.guard.lossCount(first) == 1);
}

TEST_CASE("part_guard stops a part again at once, and for longer, if it crashes an upstream after its stop has ended")
{
    guard_fixture fixture;
    for (int crash = 0; crash < 3; ++crash) {
        (void)fixture.crash({{deadly}});
    }
    REQUIRE(fixture.isStopped({deadly}));
    fixture.now += 61s;
    CHECK_FALSE(fixture.isStopped({deadly}));
    CHECK(fixture.crash({{deadly}}) == std::vector<std::uint64_t>{deadly});
    fixture.now += 110s;
    CHECK(fixture.isStopped({deadly}));
}

TEST_CASE("part_guard counts the runs that a silently ended upstream left unanswered")
{
    guard_fixture fixture;
    for (upstream_key upstream = 1; upstream <= 3; ++upstream) {
        fixture.guard.recordUnanswered(fixture.runOf({deadly}), upstream, fixture.now);
        CHECK_FALSE(fixture.isStopped({deadly}));
        (void)fixture.guard.recordUpstreamEnd(upstream, fixture.now);
    }
    CHECK(fixture.isStopped({deadly}));
    fixture.guard.recordUnanswered(fixture.runOf({sound}), 9, fixture.now);
    fixture.now += 11s;
    (void)fixture.guard.recordUpstreamEnd(9, fixture.now);
    CHECK(fixture.guard.lossCount(sound) == 0);
}

TEST_CASE("part_guard joins the losses that several nodes report, and takes proofs of other nodes")
{
    guard_fixture fixture;
    std::vector<part_loss> losses;
    for (upstream_key upstream = 101; upstream <= 103; ++upstream) {
        losses.push_back({.part = deadly, .content = upstream, .upstream = upstream});
        losses.push_back({.part = first, .content = upstream, .upstream = upstream});
    }
    losses.push_back({.part = deadly, .content = 104, .upstream = 104});
    CHECK_FALSE(fixture.guard.recordRemoteLosses(losses, true, fixture.now).empty());
    CHECK(fixture.isStopped({deadly}));
    CHECK_FALSE(fixture.isStopped({first}));
    CHECK(fixture.guard.lossesToReport(fixture.now).size() == losses.size());
    CHECK(fixture.guard.locallyStopped().empty());
    CHECK(fixture.guard.recordRemoteLosses(losses, true, fixture.now).empty());
    CHECK(fixture.guard.lossesToReport(fixture.now).size() == losses.size()); // Nothing new.
    fixture.now += 2s;
    CHECK(fixture.guard.lossesToReport(fixture.now).empty());
    fixture.guard.recordRemoteProofs({deadly}, true, fixture.now);
    CHECK_FALSE(fixture.isStopped({deadly}));
    CHECK(fixture.guard.proofsToReport(fixture.now) == std::vector<std::uint64_t>{deadly});
}

TEST_CASE("part_guard answers a reported loss of a part that it knows to be sound")
{
    guard_fixture fixture;
    fixture.guard.recordProof(fixture.runOf({sound}), fixture.now);
    CHECK(fixture.guard.proofsToReport(fixture.now).empty()); // Nobody suspects it.
    (void)fixture.guard.recordRemoteLosses({{.part = sound, .content = 1, .upstream = 1}}, false, fixture.now);
    CHECK(fixture.guard.proofsToReport(fixture.now) == std::vector<std::uint64_t>{sound});
    CHECK(fixture.guard.lossCount(sound) == 0);
    fixture.guard.stop(sound, {}, fixture.now); // A row of the store.
    CHECK_FALSE(fixture.isStopped({sound}));
}

// Guards against refusing a sound part for a minute after connections to running upstreams were reset.
TEST_CASE("part_guard ends a stop when the upstreams that seemed to have crashed prove to run on")
{
    guard_fixture fixture;
    (void)fixture.crash({{deadly}});
    (void)fixture.crash({{deadly}});
    CHECK(fixture.crash({{deadly}}) == std::vector<std::uint64_t>{deadly});
    REQUIRE(fixture.guard.stoppedBecauseOf(deadly) == std::set<upstream_key>{1, 2, 3});
    const time_point lostAt = fixture.now;
    fixture.now += 1s;
    SECTION("what shows only that an upstream ran before the loss refutes nothing")
    {
        CHECK(fixture.guard.recordAlive(1, lostAt, fixture.now).empty());
        CHECK(fixture.isStopped({deadly}));
    }
    SECTION("the losses that remain count on")
    {
        CHECK(fixture.guard.recordAlive(2, fixture.now, fixture.now) == std::vector<std::uint64_t>{deadly});
        CHECK_FALSE(fixture.isStopped({deadly}));
        CHECK(fixture.guard.lossCount(deadly) == 2);
        CHECK(fixture.guard.locallyStopped().empty());
        CHECK(fixture.crash({{deadly}}) == std::vector<std::uint64_t>{deadly});
        fixture.now += 59s;
        CHECK(fixture.isStopped({deadly}));
        fixture.now += 2s;
        CHECK_FALSE(fixture.isStopped({deadly})); // The stop that has ended early does not make this one longer.
    }
    SECTION("losses that are refuted are not reported either")
    {
        for (upstream_key upstream = 1; upstream <= 3; ++upstream) {
            (void)fixture.guard.recordAlive(upstream, fixture.now, fixture.now);
        }
        CHECK(fixture.guard.lossesToReport(fixture.now).empty());
        CHECK(fixture.guard.lossCount(deadly) == 0);
    }
}

TEST_CASE("part_guard ends the renewal of a stop when the only loss behind it is refuted")
{
    guard_fixture fixture;
    for (int crash = 0; crash < 3; ++crash) {
        (void)fixture.crash({{deadly}});
    }
    fixture.now += 61s;
    REQUIRE(fixture.crash({{deadly}}) == std::vector<std::uint64_t>{deadly});
    fixture.now += 1s;
    CHECK(fixture.guard.recordAlive(fixture.lastUpstream(), fixture.now, fixture.now) == std::vector<std::uint64_t>{deadly});
    CHECK_FALSE(fixture.isStopped({deadly}));
    CHECK(fixture.crash({{deadly}}) == std::vector<std::uint64_t>{deadly}); // It was stopped before, and goes on.
}

TEST_CASE("part_guard ends a stop that another node has recorded when the upstreams that the record names run on")
{
    guard_fixture fixture;
    fixture.guard.stop(deadly, {}, fixture.now, {1, 2, 3});
    const time_point readAt = fixture.now;
    fixture.now += 1s;
    CHECK(fixture.guard.recordAlive(1, readAt, fixture.now).empty());
    CHECK(fixture.guard.recordAlive(1, fixture.now, fixture.now) == std::vector<std::uint64_t>{deadly});
    CHECK_FALSE(fixture.isStopped({deadly}));
    fixture.guard.stop(sound, {}, fixture.now); // A record without upstreams, as older nodes write them.
    CHECK(fixture.guard.recordAlive(1, fixture.now + 1s, fixture.now + 1s).empty());
    CHECK(fixture.isStopped({sound}));
}

TEST_CASE("part_guard is bounded whatever it is told")
{
    guard_fixture fixture;
    const part_guard_options options;
    std::vector<part_loss> losses;
    for (std::uint64_t part = 1; part <= 3 * options.maximumParts; ++part) {
        losses.push_back({.part = part, .content = part, .upstream = static_cast<upstream_key>(part)});
    }
    (void)fixture.guard.recordRemoteLosses(losses, true, fixture.now);
    CHECK(fixture.guard.lossesToReport(fixture.now).size() == options.maximumReported);
    std::size_t suspects = 0;
    for (const part_loss &loss : losses) {
        suspects += fixture.guard.lossCount(loss.part) > 0 ? 1 : 0;
    }
    CHECK(suspects == options.maximumParts);
    for (std::uint64_t part = 1; part <= 2 * options.maximumParts; ++part) {
        fixture.guard.stop(part, {}, fixture.now);
    }
    CHECK(fixture.guard.stopped(fixture.now).size() == options.maximumParts);
}
