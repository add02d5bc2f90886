#include "banyan/core/serving/request_scheduler.h"

#include "banyan/core/serving/load_board.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

/// The scheduler of one node with upstreams "u0", "u1", … of four slots each, and rates for some of them.
struct rate_fixture
{
    load_board board{1500ms};
    request_scheduler scheduler{{.self = node_id("n1")}, board};
    std::vector<replica> upstreams;
    int lastId = 0;

    rate_fixture(int count, const std::map<upstream_id, allowed_rate> &rates)
    {
        for (int number = 0; number < count; ++number) {
            upstreams.push_back({.id = upstream_id("u" + std::to_string(number)), .service = service_name("s"), .slots = 4});
        }
        (void)scheduler.setUpstreams(upstreams, start);
        (void)scheduler.setAllowedRates(rates, start);
    }

    slot_request online(time_point now)
    {
        return {.id = request_id("r" + std::to_string(++lastId)),
                .service = service_name("s"),
                .arrivedAt = now,
                .target = now + 300ms,
                .deadline = now + 5s,
                .repeatable = true};
    }

    slot_request batch(time_point now)
    {
        slot_request request = online(now);
        request.workClass = work_class::Batch;
        request.target = now + 18s;
        request.deadline = now + 60s;
        return request;
    }

    /// Submits an online run that ends at once if it is granted. Returns the upstream, if any.
    std::optional<upstream_id> runOnline(time_point now)
    {
        const slot_request request = online(now);
        return end(scheduler.submit(request, now), now);
    }

    /// Ends the first granted run among the actions. Returns its upstream.
    std::optional<upstream_id> end(const slot_actions &actions, time_point now)
    {
        for (const slot_action &action : actions) {
            if (const auto *const granted = std::get_if<slot_granted>(&action)) {
                (void)scheduler.released(granted->request, {.outcome = attempt_outcome::Succeeded}, now);
                return granted->upstream;
            }
        }
        return std::nullopt;
    }
};

template<typename Action>
std::size_t countOf(const slot_actions &actions)
{
    return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const slot_action &action) {
        return std::holds_alternative<Action>(action);
    }));
}

const upstream_id limited("u0");

} // namespace

TEST_CASE("request_scheduler starts runs at a rate-limited upstream at its rate, and all others elsewhere")
{
    rate_fixture fixture(2, {{limited, {.perSecond = 2, .toleratedPerSecond = 2, .toleratedBurst = 2}}});
    int atLimited = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        const std::optional<upstream_id> upstream = fixture.runOnline(now);
        REQUIRE(upstream);
        atLimited += *upstream == limited ? 1 : 0;
    }
    CHECK(atLimited <= 21);
    CHECK(atLimited >= 18);
}

TEST_CASE("request_scheduler starts no burst at a rate-limited upstream after an idle time")
{
    rate_fixture fixture(1, {{limited, {.perSecond = 2, .toleratedPerSecond = 2, .toleratedBurst = 2}}});
    int started = 0;
    for (int run = 0; run < 20; ++run) {
        started += fixture.runOnline(start + 1h) ? 1 : 0;
    }
    CHECK(started == 2);
}

TEST_CASE("request_scheduler lets a run wait for the next start at a rate-limited upstream and wakes up for it")
{
    rate_fixture fixture(1, {{limited, {.perSecond = 5, .toleratedPerSecond = 5, .toleratedBurst = 2}}});
    REQUIRE(fixture.runOnline(start + 200ms));
    const slot_request waiting = fixture.online(start + 200ms);
    CHECK(fixture.scheduler.submit(waiting, start + 200ms).empty());
    const std::optional<time_point> next = fixture.scheduler.nextWakeUp();
    REQUIRE(next);
    CHECK(*next <= start + 400ms);
    CHECK(countOf<slot_granted>(fixture.scheduler.tick(start + 400ms)) == 1);
}

TEST_CASE("request_scheduler rejects at once what cannot start in time at the rates of its upstreams")
{
    rate_fixture fixture(1, {{limited, {.perSecond = 1, .toleratedPerSecond = 1, .toleratedBurst = 1}}});
    const slot_actions actions = fixture.scheduler.submit(fixture.online(start), start);
    REQUIRE(countOf<slot_rejected>(actions) == 1);
    const auto &rejected = std::get<slot_rejected>(actions.front());
    CHECK(rejected.reason == end_reason::Overloaded);
    CHECK(rejected.retryAfter > duration(0));
    CHECK(rejected.basis.limited == 1);
    CHECK(rejected.basis.startsPerSecond == Approx(1));
}

TEST_CASE("request_scheduler rejects at once if this node may start nothing at the only upstream")
{
    rate_fixture fixture(1, {{limited, {}}});
    CHECK(countOf<slot_rejected>(fixture.scheduler.submit(fixture.online(start + 1h), start + 1h)) == 1);
}

TEST_CASE("request_scheduler leaves a start at a rate-limited upstream to online work when it starts a batch run")
{
    rate_fixture fixture(1, {{limited, {.perSecond = 2, .toleratedPerSecond = 2, .toleratedBurst = 4}}});
    int batchStarted = 0;
    for (int run = 0; run < 4; ++run) {
        batchStarted += static_cast<int>(countOf<slot_granted>(fixture.scheduler.submit(fixture.batch(start + 10s), start + 10s)));
    }
    CHECK(batchStarted == 2);
    CHECK(fixture.runOnline(start + 10s));
    CHECK(fixture.runOnline(start + 10s));
    CHECK_FALSE(fixture.runOnline(start + 10s));
}

TEST_CASE("request_scheduler gives a new incarnation of a rate-limited upstream its own limit")
{
    rate_fixture fixture(1, {{limited, {}}});
    fixture.upstreams.front().startedAt = 5;
    (void)fixture.scheduler.setAllowedRates({}, start);
    (void)fixture.scheduler.setUpstreams(fixture.upstreams, start);
    CHECK(fixture.runOnline(start));
}

TEST_CASE("request_scheduler counts a grant at a rate-limited upstream even if its run never gets there")
{
    rate_fixture fixture(1, {{limited, {.perSecond = 2, .toleratedPerSecond = 2, .toleratedBurst = 2}}});
    const time_point now = start + 10s;
    for (int run = 0; run < 2; ++run) {
        const slot_request request = fixture.online(now);
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(request, now)) == 1);
        (void)fixture.scheduler.released(request.id, {.outcome = attempt_outcome::NotSent}, now);
    }
    CHECK(countOf<slot_granted>(fixture.scheduler.submit(fixture.online(now), now)) == 0);
}
