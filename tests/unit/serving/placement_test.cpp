#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/request_scheduler.h"
#include "serving/expected_times.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start(1000h);
constexpr duration averageFirstByte = 50ms;
constexpr duration averageRun = 300ms;

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

/// A scheduler and upstreams "u0", "u1", … of four slots, each of which takes its factor times as long as an average one.
struct placement_fixture
{
    load_board board{1500ms};
    request_scheduler scheduler;
    std::vector<double> factors;
    std::vector<replica> upstreams;
    time_point now = start;
    int lastId = 0;

    placement_fixture(std::vector<double> timeFactors, placement_policy policy)
        : scheduler({.self = node_id("n1"), .placement = policy}, board)
        , factors(std::move(timeFactors))
    {
        for (std::size_t index = 0; index < factors.size(); ++index) {
            upstreams.push_back(
                {.id = upstream_id("u" + std::to_string(index)), .service = service_name("s"), .domain = failure_domain("d"), .slots = 4});
        }
        (void)scheduler.setUpstreams(upstreams, now);
    }

    slot_request request(work_class workClass = work_class::Online)
    {
        const bool online = workClass == work_class::Online;
        return {.id = request_id("r" + std::to_string(++lastId)),
                .service = service_name("s"),
                .workClass = workClass,
                .arrivedAt = now,
                .target = now + (online ? duration(300ms) : duration(18s)),
                .deadline = now + (online ? duration(5s) : duration(60s)),
                .repeatable = true,
                .holder = node_id("h" + std::to_string(lastId))}; // None has a connection to any upstream.
    }

    /// The upstream that a run is granted.
    std::size_t place(const slot_request &run)
    {
        const slot_actions actions = scheduler.submit(run, now);
        REQUIRE_FALSE(actions.empty());
        REQUIRE(std::holds_alternative<slot_granted>(actions.front()));
        return std::stoul(std::get<slot_granted>(actions.front()).upstream.text().substr(1));
    }

    /// Runs so many requests on each upstream, one at a time, for the scheduler to learn from.
    void learn(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            std::multimap<double, request_id> runs; // By factor, so that they end in order.
            std::vector<upstream_id> used;
            for (std::size_t count = 0; count < factors.size(); ++count) {
                slot_request run = request();
                run.excluded = used;
                const std::size_t upstream = place(run);
                runs.emplace(factors[upstream], run.id);
                used.push_back(upstreams[upstream].id);
            }
            const time_point begun = now;
            for (const auto &[factor, id] : runs) {
                now = begun + scaled(averageRun, factor);
                scheduler.firstByteAfter(id, scaled(averageFirstByte, factor), now);
                (void)scheduler.released(id, {.outcome = attempt_outcome::Succeeded}, now);
            }
        }
    }
};

} // namespace

TEST_CASE("the expected times of a long run are hardly those of a disturbance")
{
    const expected_work work{.firstByteSeconds = 0.05, .runSeconds = 5};
    const expected_times disturbed = expectedTimes(work, {.usualFactor = 1, .currentFactor = 2.5, .slots = 4});
    CHECK(disturbed.firstByteSeconds == Approx(0.125));
    CHECK(disturbed.finishSeconds == Approx(5).epsilon(0.1));
    const expected_times slow = expectedTimes(work, {.usualFactor = 2.5, .currentFactor = 2.5, .slots = 4});
    CHECK(slow.finishSeconds == Approx(12.5));
}

TEST_CASE("the scheduler sends online runs to the fast upstreams once it has learned their speeds")
{
    const placement_policy policy = GENERATE(placement_policy::Automatic, placement_policy::ExpectedCost);
    placement_fixture fixture({0.6, 1, 1.6}, policy);
    fixture.learn(40);
    REQUIRE(fixture.scheduler.placement(fixture.now).front().byCost);
    for (int run = 0; run < 4; ++run) {
        CHECK(fixture.place(fixture.request()) == 0); // It has four slots.
    }
    CHECK(fixture.place(fixture.request()) == 1);
}

TEST_CASE("batch work fills the upstreams at which it ends soonest, and yields to online work there")
{
    placement_fixture fixture({0.6, 1, 1.6}, placement_policy::ExpectedCost);
    fixture.learn(40);
    for (int run = 0; run < 4; ++run) {
        CHECK(fixture.place(fixture.request(work_class::Batch)) == 0);
    }
    for (int run = 0; run < 4; ++run) {
        CHECK(fixture.place(fixture.request(work_class::Batch)) == 1);
    }
    CHECK(fixture.place(fixture.request()) == 2); // A free slot goes before one that batch work holds.
}

TEST_CASE("an upstream that is always slow is not ejected for it")
{
    placement_fixture fixture({0.5, 0.5, 0.5, 0.5, 0.5, 2}, placement_policy::ExpectedCost);
    fixture.learn(40);
    const auto usage = fixture.scheduler.usage(fixture.now);
    CHECK_FALSE(usage.contains(keyOf(upstream_id("u5")))); // Idle and not degraded.
}

TEST_CASE("upstreams of equal speed are placed by the number of their runs")
{
    placement_fixture fixture({1, 1.05, 0.95}, placement_policy::Automatic);
    fixture.learn(40);
    CHECK_FALSE(fixture.scheduler.placement(fixture.now).front().byCost);
    std::map<std::size_t, int> placed;
    for (int run = 0; run < 6; ++run) {
        ++placed[fixture.place(fixture.request())];
    }
    CHECK(placed == std::map<std::size_t, int>{{0, 2}, {1, 2}, {2, 2}});
}

TEST_CASE("a service whose upstreams other nodes use more than this one is placed by the number of runs")
{
    placement_fixture fixture({0.6, 1, 1.6}, placement_policy::ExpectedCost);
    fixture.learn(40);
    (void)fixture.place(fixture.request());
    fixture.board.record({.sender = node_id("n2"), .sequence = 1, .usage = {{keyOf(upstream_id("u0")), {.online = 3}}}}, fixture.now);
    fixture.now += 200ms;
    (void)fixture.scheduler.loadChanged(fixture.now);
    CHECK_FALSE(fixture.scheduler.placement(fixture.now).front().byCost);
}
