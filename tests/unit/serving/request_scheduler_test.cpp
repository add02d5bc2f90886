#include "banyan/core/serving/request_scheduler.h"

#include "banyan/core/serving/load_board.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

/// A scheduler of one node with upstreams "u0", "u1", … of four slots.
struct scheduler_fixture
{
    load_board board{1500ms};
    request_scheduler scheduler{{.self = node_id("n1")}, board};
    std::vector<replica> upstreams;
    int lastId = 0;

    explicit scheduler_fixture(int count)
    {
        for (int number = 0; number < count; ++number) {
            upstreams.push_back(
                {.id = upstream_id("u" + std::to_string(number)), .service = service_name("s"), .domain = failure_domain("d"), .slots = 4});
        }
        const slot_actions none = scheduler.setUpstreams(upstreams, start);
        REQUIRE(none.empty());
    }

    slot_request online(time_point now = start)
    {
        return {.id = request_id("r" + std::to_string(++lastId)),
                .service = service_name("s"),
                .arrivedAt = now,
                .target = now + 300ms,
                .deadline = now + 5s};
    }

    slot_request batch(time_point now = start)
    {
        slot_request request = online(now);
        request.workClass = work_class::Batch;
        request.target = now + 18s;
        request.deadline = now + 60s;
        return request;
    }

    /// Reports another node's work at each upstream.
    void otherNode(std::uint32_t online, std::uint32_t batch, std::uint64_t sequence, bool troubled = false)
    {
        node_load load{.sender = node_id("n2"), .sequence = sequence};
        for (const replica &upstream : upstreams) {
            load.usage[keyOf(upstream.id)] = {.online = online, .batch = batch, .troubled = troubled};
        }
        REQUIRE(board.record(load, start));
    }
};

template<typename Action>
std::size_t countOf(const slot_actions &actions)
{
    return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const slot_action &action) {
        return std::holds_alternative<Action>(action);
    }));
}

} // namespace

TEST_CASE("request_scheduler spreads work over upstreams by what all nodes have in flight")
{
    scheduler_fixture fixture(2);
    node_load load{.sender = node_id("n2"), .sequence = 1, .usage = {{keyOf(upstream_id("u0")), {.online = 3}}}};
    fixture.board.record(load, start);
    for (int run = 0; run < 2; ++run) {
        const slot_actions actions = fixture.scheduler.submit(fixture.online(), start);
        REQUIRE(countOf<slot_granted>(actions) == 1);
        CHECK(std::get<slot_granted>(actions.front()).upstream == upstream_id("u1"));
    }
}

TEST_CASE("request_scheduler takes a batch run's slot at once when a burst fills the upstream")
{
    scheduler_fixture fixture(1);
    for (int run = 0; run < 3; ++run) {
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(fixture.batch(), start)) == 1);
    }
    REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(fixture.online(), start)) == 1);
    const slot_actions actions = fixture.scheduler.submit(fixture.online(), start + 1ms);
    CHECK(countOf<slot_granted>(actions) == 1);
    CHECK(countOf<slot_reclaimed>(actions) == 1);
}

TEST_CASE("request_scheduler reclaims the batch run that has the least to lose")
{
    scheduler_fixture fixture(1);
    std::vector<request_id> batch;
    for (int run = 0; run < 3; ++run) {
        const slot_request request = fixture.batch();
        batch.push_back(request.id);
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(request, start + run * 1s)) == 1);
    }
    const slot_actions first = fixture.scheduler.submit(fixture.online(), start + 3s);
    const slot_actions second = fixture.scheduler.submit(fixture.online(start + 3s), start + 3s);
    REQUIRE(countOf<slot_reclaimed>(first) + countOf<slot_reclaimed>(second) == 1);
    CHECK(std::get<slot_reclaimed>(second.back()).request == batch.back());
}

TEST_CASE("request_scheduler yields batch work when another node's online work comes to the same upstream")
{
    scheduler_fixture fixture(1);
    for (int run = 0; run < 3; ++run) {
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(fixture.batch(), start)) == 1);
    }
    fixture.otherNode(3, 0, 1);
    CHECK(countOf<slot_reclaimed>(fixture.scheduler.loadChanged(start + 10ms)) == 2);
    fixture.otherNode(3, 0, 2);
    CHECK(countOf<slot_reclaimed>(fixture.scheduler.loadChanged(start + 20ms)) == 0);
}

TEST_CASE("request_scheduler lets the node with more batch work yield")
{
    scheduler_fixture fixture(1);
    REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(fixture.batch(), start)) == 1);
    fixture.otherNode(2, 2, 1);
    CHECK(countOf<slot_reclaimed>(fixture.scheduler.loadChanged(start + 10ms)) == 0);
}

TEST_CASE("request_scheduler starts no batch work in the slots that online work will need before other nodes can react")
{
    scheduler_fixture fixture(4);
    // 12 of 16 slots hold online work, which arrives at about 15 a second for 0.8 s each: one arrival within 50 ms.
    fixture.otherNode(3, 0, 1);
    std::size_t started = 0;
    for (int run = 0; run < 4; ++run) {
        started += countOf<slot_granted>(fixture.scheduler.submit(fixture.batch(), start));
    }
    CHECK(started == 3);
    CHECK(fixture.scheduler.waitingBatch() == 1);
}

TEST_CASE("request_scheduler starts waiting batch work when a slot becomes free")
{
    scheduler_fixture fixture(1);
    std::vector<slot_request> runs;
    for (int run = 0; run < 5; ++run) {
        runs.push_back(fixture.batch());
        (void)fixture.scheduler.submit(runs.back(), start);
    }
    CHECK(fixture.scheduler.waitingBatch() == 1);
    const slot_actions actions = fixture.scheduler.released(runs.front().id, {.outcome = attempt_outcome::Succeeded}, start + 1s);
    REQUIRE(countOf<slot_granted>(actions) == 1);
    CHECK(std::get<slot_granted>(actions.front()).request == runs.back().id);
}

TEST_CASE("request_scheduler refuses at once what cannot begin in time, and spreads the returns")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(12, 0, 1);
    std::vector<duration> returns;
    for (int run = 0; run < 20; ++run) {
        const slot_actions actions = fixture.scheduler.submit(fixture.online(), start);
        for (const slot_action &action : actions) {
            if (const auto *const refused = std::get_if<slot_refused>(&action)) {
                returns.push_back(refused->retryAfter);
            }
        }
    }
    // Two may wait: with a slot free every 0.2 s only they can begin within 0.22 s.
    REQUIRE(returns.size() >= 18);
    std::sort(returns.begin(), returns.end());
    CHECK(returns.front() >= 100ms);
    CHECK(returns.back() - returns.front() >= 50ms);
}

TEST_CASE("request_scheduler refuses a waiting run when its time to begin has passed")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(6, 0, 1);
    const slot_request request = fixture.online();
    REQUIRE(fixture.scheduler.submit(request, start).empty());
    const std::optional<time_point> due = fixture.scheduler.nextWakeUp();
    REQUIRE(due.has_value());
    CHECK(*due <= request.target);
    const slot_actions actions = fixture.scheduler.tick(*due);
    REQUIRE(countOf<slot_refused>(actions) == 1);
    CHECK(std::get<slot_refused>(actions.front()).reason == end_reason::DeadlineUnreachable);
}

TEST_CASE("request_scheduler keeps a run waiting that was sent before, although it will be late")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(12, 0, 1);
    slot_request request = fixture.online();
    request.begun = true;
    CHECK(fixture.scheduler.submit(request, start).empty());
    CHECK(fixture.scheduler.tick(start + 1s).empty());
    CHECK(countOf<slot_refused>(fixture.scheduler.tick(request.deadline)) == 1);
}

TEST_CASE("request_scheduler avoids an upstream that two nodes have trouble with")
{
    scheduler_fixture fixture(2);
    const slot_request first = fixture.online();
    const slot_actions granted = fixture.scheduler.submit(first, start);
    const upstream_id troubled = std::get<slot_granted>(granted.front()).upstream;
    (void)fixture.scheduler.released(first.id, {.outcome = attempt_outcome::TimedOut}, start + 300ms);
    node_load load{.sender = node_id("n2"), .sequence = 1, .usage = {{keyOf(troubled), {.troubled = true}}}};
    fixture.board.record(load, start + 300ms);
    for (int run = 0; run < 4; ++run) {
        const slot_actions actions = fixture.scheduler.submit(fixture.online(start + 300ms), start + 300ms);
        REQUIRE(countOf<slot_granted>(actions) == 1);
        CHECK(std::get<slot_granted>(actions.front()).upstream != troubled);
    }
}

TEST_CASE("request_scheduler sends nothing to upstreams that are draining or gone, and says when there is none")
{
    scheduler_fixture fixture(2);
    fixture.upstreams[0].draining = true;
    fixture.upstreams.pop_back();
    (void)fixture.scheduler.setUpstreams(fixture.upstreams, start);
    const slot_actions actions = fixture.scheduler.submit(fixture.online(), start);
    REQUIRE(countOf<slot_refused>(actions) == 1);
    CHECK(std::get<slot_refused>(actions.front()).reason == end_reason::NoUpstream);
}

TEST_CASE("request_scheduler goes back to an upstream where the run failed only if there is no other")
{
    scheduler_fixture fixture(2);
    slot_request request = fixture.online();
    request.excluded = {upstream_id("u0")};
    const slot_actions other = fixture.scheduler.submit(request, start);
    CHECK(std::get<slot_granted>(other.front()).upstream == upstream_id("u1"));
    slot_request again = fixture.online();
    again.excluded = {upstream_id("u0"), upstream_id("u1")};
    CHECK(countOf<slot_granted>(fixture.scheduler.submit(again, start)) == 1);
}

TEST_CASE("request_scheduler refuses an id that waits or runs already")
{
    scheduler_fixture fixture(1);
    const slot_request request = fixture.online();
    (void)fixture.scheduler.submit(request, start);
    CHECK_THROWS_AS(fixture.scheduler.submit(request, start), std::invalid_argument);
}

TEST_CASE("request_scheduler tries an upstream again when its ejection ends, although nothing else happens")
{
    scheduler_fixture fixture(1);
    for (int failure = 0; failure < 3; ++failure) {
        const slot_request request = fixture.batch();
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(request, start)) == 1);
        (void)fixture.scheduler.released(request.id, {.outcome = attempt_outcome::Failed}, start);
    }
    slot_request request = fixture.batch();
    request.repeatable = true;
    CHECK(fixture.scheduler.submit(request, start).empty());
    const std::optional<time_point> due = fixture.scheduler.nextWakeUp();
    REQUIRE(due.has_value());
    CHECK(*due <= start + 1s);
    // Its troubles count for two seconds more where another node has them, too.
    CHECK(countOf<slot_granted>(fixture.scheduler.tick(*due)) == 1);
}

TEST_CASE("request_scheduler queues online work itself and not at an upstream whose slots online work holds")
{
    scheduler_fixture fixture(2);
    fixture.otherNode(4, 0, 1);
    const slot_request request = fixture.online();
    CHECK(fixture.scheduler.submit(request, start).empty());
    fixture.otherNode(4, 0, 2);
    node_load load{.sender = node_id("n2"), .sequence = 3, .usage = {{keyOf(upstream_id("u0")), {.online = 4}}}};
    fixture.board.record(load, start);
    // A slot becomes free anywhere: the run goes there.
    const slot_actions actions = fixture.scheduler.loadChanged(start + 20ms);
    REQUIRE(countOf<slot_granted>(actions) == 1);
    CHECK(std::get<slot_granted>(actions.front()).upstream == upstream_id("u1"));
}

TEST_CASE("request_scheduler sends a run where its node has an idle connection, unless that upstream has failed")
{
    scheduler_fixture fixture(4);
    slot_request first = fixture.online();
    first.holder = node_id("n9");
    const slot_actions granted = fixture.scheduler.submit(first, start);
    const upstream_id connected = std::get<slot_granted>(granted.front()).upstream;
    (void)fixture.scheduler.released(first.id, {.outcome = attempt_outcome::Succeeded}, start + 100ms);
    slot_request second = fixture.online(start + 200ms);
    second.holder = node_id("n9");
    const slot_actions again = fixture.scheduler.submit(second, start + 200ms);
    CHECK(std::get<slot_granted>(again.front()).upstream == connected);
    (void)fixture.scheduler.released(second.id, {.outcome = attempt_outcome::Succeeded}, start + 300ms);
    slot_request failing = fixture.online(start + 300ms);
    failing.holder = node_id("n9");
    (void)fixture.scheduler.submit(failing, start + 300ms);
    (void)fixture.scheduler.released(failing.id, {.outcome = attempt_outcome::Lost}, start + 310ms);
    slot_request third = fixture.online(start + 320ms);
    third.holder = node_id("n9");
    const slot_actions elsewhere = fixture.scheduler.submit(third, start + 320ms);
    CHECK(std::get<slot_granted>(elsewhere.front()).upstream != connected);
}

TEST_CASE("request_scheduler prefers the failure domain of the node that sends the run")
{
    scheduler_fixture fixture(4);
    for (std::size_t index = 0; index < fixture.upstreams.size(); ++index) {
        fixture.upstreams[index].domain = failure_domain(index == 2 ? "near" : "far");
    }
    (void)fixture.scheduler.setUpstreams(fixture.upstreams, start);
    slot_request request = fixture.online();
    request.domain = failure_domain("near");
    const slot_actions actions = fixture.scheduler.submit(request, start);
    CHECK(std::get<slot_granted>(actions.front()).upstream == upstream_id("u2"));
}

TEST_CASE("request_scheduler judges the wait by the queue and the slots of the run's own cell")
{
    scheduler_fixture fixture(8);
    const upstream_cell cell{.index = 0, .count = 2};
    std::uint32_t slots = 0;
    for (const replica &upstream : fixture.upstreams) {
        slots += cell.contains(upstream.id) ? upstream.slots : 0;
    }
    REQUIRE(slots > 0);
    REQUIRE(slots < 32);
    std::size_t granted = 0;
    std::size_t refused = 0;
    for (int run = 0; run < 200; ++run) {
        slot_request request = fixture.online();
        request.cell = cell;
        const slot_actions actions = fixture.scheduler.submit(request, start);
        granted += countOf<slot_granted>(actions);
        refused += countOf<slot_refused>(actions);
    }
    CHECK(granted == slots);
    // A slot becomes free every 0.8 s over the cell's slots; those that wait have 0.22 s.
    const double mayWait = 0.22 * slots / 0.8;
    CHECK(fixture.scheduler.waitingOnline() <= std::ceil(mayWait));
    CHECK(fixture.scheduler.waitingOnline() >= std::floor(mayWait));
    CHECK(granted + refused + fixture.scheduler.waitingOnline() == 200);
}

TEST_CASE("request_scheduler reports a refusal by what decided it: the wait that the run itself would have had")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(4, 0, 1);
    std::optional<slot_refused> refused;
    while (!refused) {
        const slot_request request = fixture.online();
        const slot_actions actions = fixture.scheduler.submit(request, start);
        if (!actions.empty()) {
            refused = std::get<slot_refused>(actions.front());
        }
    }
    // It would have begun too late to answer within the target of 300 ms.
    CHECK(refused->basis.expectedWait + refused->basis.firstByte > 300ms);
    CHECK(refused->basis.slots == 4);
    CHECK(refused->basis.waiting == fixture.scheduler.waitingOnline() + 1);
}
