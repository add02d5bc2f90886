#include "banyan/core/serving/request_scheduler.h"

#include "banyan/core/serving/load_board.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

const time_point start{};

/// The scheduler of one node with upstreams "u0", "u1", … of four slots each.
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

    /// Reports the work of another node at each upstream.
    void otherNode(std::uint32_t online, std::uint32_t batch, std::uint64_t sequence, bool degraded = false)
    {
        node_load load{.sender = node_id("n2"), .sequence = sequence};
        for (const replica &upstream : upstreams) {
            load.usage[keyOf(upstream.id)] = {.online = online, .batch = batch, .degraded = degraded};
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

TEST_CASE("request_scheduler reclaims the slot of the batch run with the most remaining run time")
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

TEST_CASE("request_scheduler preempts batch runs when another node's online work fills the same upstream")
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

TEST_CASE("request_scheduler preempts no batch run while another node has more of them at the upstream")
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

TEST_CASE("request_scheduler rejects at once a run that cannot start in time, and spreads the retries")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(12, 0, 1);
    std::vector<duration> retryTimes;
    for (int run = 0; run < 20; ++run) {
        const slot_actions actions = fixture.scheduler.submit(fixture.online(), start);
        for (const slot_action &action : actions) {
            if (const auto *const rejected = std::get_if<slot_rejected>(&action)) {
                retryTimes.push_back(rejected->retryAfter);
            }
        }
    }
    // Two may wait: a slot becomes free every 0.2 s, so only these can start within 0.22 s.
    REQUIRE(retryTimes.size() >= 18);
    std::sort(retryTimes.begin(), retryTimes.end());
    CHECK(retryTimes.front() >= 100ms);
    CHECK(retryTimes.back() - retryTimes.front() >= 50ms);
}

TEST_CASE("request_scheduler rejects a waiting run when it can no longer start in time")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(6, 0, 1);
    const slot_request request = fixture.online();
    REQUIRE(fixture.scheduler.submit(request, start).empty());
    const std::optional<time_point> due = fixture.scheduler.nextWakeUp();
    REQUIRE(due.has_value());
    CHECK(*due <= request.target);
    const slot_actions actions = fixture.scheduler.tick(*due);
    REQUIRE(countOf<slot_rejected>(actions) == 1);
    CHECK(std::get<slot_rejected>(actions.front()).reason == end_reason::DeadlineUnreachable);
}

TEST_CASE("request_scheduler keeps a previously sent run waiting although it will be late")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(12, 0, 1);
    slot_request request = fixture.online();
    request.sentBefore = true;
    CHECK(fixture.scheduler.submit(request, start).empty());
    CHECK(fixture.scheduler.tick(start + 1s).empty());
    CHECK(countOf<slot_rejected>(fixture.scheduler.tick(request.deadline)) == 1);
}

TEST_CASE("request_scheduler avoids an upstream that two nodes see as degraded")
{
    scheduler_fixture fixture(2);
    const slot_request first = fixture.online();
    const slot_actions granted = fixture.scheduler.submit(first, start);
    const upstream_id failed = std::get<slot_granted>(granted.front()).upstream;
    (void)fixture.scheduler.released(first.id, {.outcome = attempt_outcome::TimedOut}, start + 300ms);
    node_load load{.sender = node_id("n2"), .sequence = 1, .usage = {{keyOf(failed), {.degraded = true}}}};
    fixture.board.record(load, start + 300ms);
    for (int run = 0; run < 4; ++run) {
        const slot_actions actions = fixture.scheduler.submit(fixture.online(start + 300ms), start + 300ms);
        REQUIRE(countOf<slot_granted>(actions) == 1);
        CHECK(std::get<slot_granted>(actions.front()).upstream != failed);
    }
}

TEST_CASE("request_scheduler sends nothing to draining or removed upstreams, and rejects a run if there are no others")
{
    scheduler_fixture fixture(2);
    fixture.upstreams[0].draining = true;
    fixture.upstreams.pop_back();
    (void)fixture.scheduler.setUpstreams(fixture.upstreams, start);
    const slot_actions actions = fixture.scheduler.submit(fixture.online(), start);
    REQUIRE(countOf<slot_rejected>(actions) == 1);
    CHECK(std::get<slot_rejected>(actions.front()).reason == end_reason::NoUpstream);
}

TEST_CASE("request_scheduler uses an excluded upstream only if there is no other")
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

TEST_CASE("request_scheduler throws for an id that is already waiting or running")
{
    scheduler_fixture fixture(1);
    const slot_request request = fixture.online();
    (void)fixture.scheduler.submit(request, start);
    CHECK_THROWS_AS(fixture.scheduler.submit(request, start), std::invalid_argument);
}

TEST_CASE("request_scheduler probes an ejected upstream when its ejection ends, without any other event")
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
    // The upstream still counts as degraded for two seconds, but that needs a second node to have an effect.
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
    // The run takes the first slot that becomes free at any upstream.
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

TEST_CASE("request_scheduler estimates the wait from the queue and the slots of the run's own cell")
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
    std::size_t rejected = 0;
    for (int run = 0; run < 200; ++run) {
        slot_request request = fixture.online();
        request.cell = cell;
        const slot_actions actions = fixture.scheduler.submit(request, start);
        granted += countOf<slot_granted>(actions);
        rejected += countOf<slot_rejected>(actions);
    }
    CHECK(granted == slots);
    // Slots become free every 0.8 s divided by the number of slots; waiting runs must start within 0.22 s.
    const double mayWait = 0.22 * slots / 0.8;
    CHECK(fixture.scheduler.waitingOnline() <= std::ceil(mayWait));
    CHECK(fixture.scheduler.waitingOnline() >= std::floor(mayWait));
    CHECK(granted + rejected + fixture.scheduler.waitingOnline() == 200);
}

TEST_CASE("request_scheduler reports with a rejection the wait that the rejected run would have had")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(4, 0, 1);
    std::optional<slot_rejected> rejected;
    while (!rejected) {
        const slot_request request = fixture.online();
        const slot_actions actions = fixture.scheduler.submit(request, start);
        if (!actions.empty()) {
            rejected = std::get<slot_rejected>(actions.front());
        }
    }
    // The run would have started too late to answer within the target of 300 ms.
    CHECK(rejected->basis.expectedWait + rejected->basis.firstByte > 300ms);
    CHECK(rejected->basis.slots == 4);
    CHECK(rejected->basis.waiting == fixture.scheduler.waitingOnline() + 1);
}

TEST_CASE("request_scheduler refuses a run that will be late in any case, unless it fits beside those that can be in time")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(4, 0, 1);
    slot_request late = fixture.online();
    late.target = start + 10ms; // An answer takes 80 ms.
    REQUIRE(fixture.scheduler.submit(late, start).empty()); // A slot becomes free every 0.2 s, so it starts within a second.
    const slot_request inTime = fixture.online();
    REQUIRE(fixture.scheduler.submit(inTime, start).empty());
    std::size_t refused = 0;
    for (int run = 0; run < 10; ++run) {
        slot_request other = fixture.online();
        other.target = start + 10ms;
        refused += countOf<slot_rejected>(fixture.scheduler.submit(other, start));
    }
    CHECK(refused >= 7); // At most five slots become free in a second, the first for the run that is in time.
    node_load load{.sender = node_id("n2"), .sequence = 2, .usage = {{keyOf(upstream_id("u0")), {.online = 3}}}};
    fixture.board.record(load, start);
    const slot_actions actions = fixture.scheduler.loadChanged(start + 10ms);
    REQUIRE(countOf<slot_granted>(actions) == 1);
    CHECK(std::get<slot_granted>(actions.front()).request == inTime.id);
}

TEST_CASE("request_scheduler lets a run that was sent before wait behind those that can be in time once it is late")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(4, 0, 1);
    slot_request sentBefore = fixture.online();
    sentBefore.sentBefore = true;
    REQUIRE(fixture.scheduler.submit(sentBefore, start).empty());
    REQUIRE(fixture.scheduler.tick(start + 300ms).empty());
    const slot_request fresh = fixture.online(start + 300ms);
    REQUIRE(fixture.scheduler.submit(fresh, start + 300ms).empty());
    node_load load{.sender = node_id("n2"), .sequence = 2, .usage = {{keyOf(upstream_id("u0")), {.online = 3}}}};
    fixture.board.record(load, start);
    const slot_actions actions = fixture.scheduler.loadChanged(start + 310ms);
    REQUIRE(countOf<slot_granted>(actions) == 1);
    CHECK(std::get<slot_granted>(actions.front()).request == fresh.id);
}

TEST_CASE("request_scheduler does not give up runs of other nodes because the answers of one node come late")
{
    scheduler_fixture fixture(16);
    time_point now = start;
    const auto answerAfter = [&](const std::string &holder, duration taken) {
        slot_request request = fixture.online(now);
        request.holder = node_id(holder);
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(request, now)) == 1);
        fixture.scheduler.firstByteAfter(request.id, taken, now);
        (void)fixture.scheduler.released(request.id, {.outcome = attempt_outcome::Succeeded}, now);
        now += 1ms;
    };
    for (int run = 0; run < 100; ++run) {
        answerAfter("quick", 50ms);
        answerAfter("slow", 900ms);
    }
    fixture.otherNode(4, 0, 1);
    slot_request quick = fixture.online(now);
    quick.holder = node_id("quick");
    CHECK(fixture.scheduler.submit(quick, now).empty());
    // It gives up in time for an answer within its target, and not after the second that a late run may wait.
    REQUIRE(fixture.scheduler.nextWakeUp().has_value());
    CHECK(*fixture.scheduler.nextWakeUp() <= quick.target);
    CHECK(fixture.scheduler.tick(now + 50ms).empty());
}

TEST_CASE("request_scheduler refuses the caller that takes more than its share, not the one that comes last")
{
    scheduler_fixture fixture(4);
    fixture.otherNode(4, 0, 1);
    const auto submitFor = [&](caller_key caller) {
        slot_request request = fixture.online();
        request.caller = caller;
        return std::pair(request.id, fixture.scheduler.submit(request, start));
    };
    std::vector<request_id> hot;
    for (bool isFull = false; !isFull;) {
        const auto [id, actions] = submitFor(1);
        isFull = !actions.empty();
        hot.push_back(id);
    }
    hot.pop_back();
    // A slot becomes free every 0.05 s, and runs must start within 0.22 s.
    REQUIRE(hot.size() == 4);
    const auto [other, actions] = submitFor(2);
    REQUIRE(countOf<slot_rejected>(actions) == 1);
    const slot_rejected rejected = std::get<slot_rejected>(actions.front());
    CHECK(rejected.request == hot.back());
    CHECK(rejected.basis.caller == 1);
    CHECK(rejected.basis.waitingCallers == 2);
}

TEST_CASE("request_scheduler refuses a less urgent waiting run rather than a more urgent one that arrives")
{
    scheduler_fixture fixture(2);
    fixture.otherNode(4, 0, 1);
    std::vector<request_id> less;
    for (bool isFull = false; !isFull;) {
        slot_request request = fixture.online();
        request.priority = 2;
        less.push_back(request.id);
        isFull = !fixture.scheduler.submit(request, start).empty();
    }
    less.pop_back();
    REQUIRE(less.size() >= 2);
    const slot_actions actions = fixture.scheduler.submit(fixture.online(), start);
    REQUIRE(countOf<slot_rejected>(actions) == 1);
    CHECK(std::get<slot_rejected>(actions.front()).request == less.back());
}

TEST_CASE("request_scheduler shares batch slots between callers before it goes by deadline")
{
    scheduler_fixture fixture(1);
    fixture.otherNode(4, 0, 1);
    std::vector<slot_request> runs;
    for (const caller_key caller : {1U, 1U, 1U, 2U}) {
        slot_request request = fixture.batch();
        request.caller = caller;
        request.target += static_cast<int>(caller) * 1s; // The work of the second caller is due last.
        runs.push_back(request);
        REQUIRE(fixture.scheduler.submit(request, start).empty());
    }
    node_load load{.sender = node_id("n2"), .sequence = 2, .usage = {{keyOf(upstream_id("u0")), {.online = 2}}}};
    fixture.board.record(load, start);
    const slot_actions actions = fixture.scheduler.loadChanged(start + 1ms);
    REQUIRE(countOf<slot_granted>(actions) >= 1);
    node_load idle{.sender = node_id("n2"), .sequence = 3};
    fixture.board.record(idle, start + 2ms);
    const slot_actions more = fixture.scheduler.loadChanged(start + 2ms);
    REQUIRE(countOf<slot_granted>(actions) + countOf<slot_granted>(more) >= 2);
    const slot_granted second = std::get<slot_granted>(countOf<slot_granted>(actions) >= 2 ? actions[1] : more.front());
    CHECK(second.request == runs.back().id);
}

TEST_CASE("request_scheduler that takes over a cell serves the claims that reach it in fair order at once")
{
    scheduler_fixture successor(8);
    successor.otherNode(4, 0, 1); // What the reports of the holders say is all that it knows.
    std::map<request_id, caller_key> callerOf;
    for (const caller_key caller : {1U, 1U, 1U, 1U, 1U, 2U, 2U}) {
        slot_request request = successor.online();
        request.caller = caller;
        callerOf[request.id] = caller;
        REQUIRE(successor.scheduler.submit(request, start).empty());
    }
    node_load load{.sender = node_id("n2"), .sequence = 2};
    for (const replica &upstream : successor.upstreams) {
        load.usage[keyOf(upstream.id)] = {.online = upstream.id == upstream_id("u0") ? 0U : 4U};
    }
    successor.board.record(load, start);
    const slot_actions actions = successor.scheduler.loadChanged(start + 10ms);
    REQUIRE(countOf<slot_granted>(actions) == 4);
    std::vector<caller_key> order;
    for (const slot_action &action : actions) {
        order.push_back(callerOf.at(std::get<slot_granted>(action).request));
    }
    CHECK(order == std::vector<caller_key>{1, 2, 1, 2});
}

TEST_CASE("request_scheduler uses an upstream that is ejected as slow rather than refuse what it can answer in time")
{
    scheduler_fixture fixture(4);
    std::optional<upstream_id> slow;
    time_point now = start;
    for (int run = 0; run < 400 && !slow; ++run) {
        slot_request request = fixture.online(now);
        if (run > 100) {
            request.excluded = {upstream_id("u1"), upstream_id("u2"), upstream_id("u3")};
        }
        const slot_actions granted = fixture.scheduler.submit(request, now);
        REQUIRE(countOf<slot_granted>(granted) == 1);
        const upstream_id upstream = std::get<slot_granted>(granted.front()).upstream;
        const bool isSlow = run > 100 && upstream == upstream_id("u0");
        fixture.scheduler.firstByteAfter(request.id, isSlow ? 200ms : 50ms, now);
        const slot_actions ended = fixture.scheduler.released(request.id, {.outcome = attempt_outcome::Succeeded}, now);
        if (countOf<upstream_ejected>(ended) > 0) {
            slow = std::get<upstream_ejected>(ended.front()).upstream;
        }
        now += 1ms;
    }
    REQUIRE(slow == upstream_id("u0"));
    node_load load{.sender = node_id("n2"), .sequence = 1};
    for (const replica &upstream : fixture.upstreams) {
        load.usage[keyOf(upstream.id)] = {.online = upstream.id == *slow ? 0U : 4U};
    }
    REQUIRE(fixture.board.record(load, now));
    const slot_actions actions = fixture.scheduler.submit(fixture.online(now), now);
    REQUIRE(countOf<slot_granted>(actions) == 1);
    CHECK(std::get<slot_granted>(actions.front()).upstream == *slow);
    slot_request hurried = fixture.online(now);
    hurried.target = now + 110ms; // An answer of the others takes 50 ms, one of this upstream longer than the target.
    CHECK(countOf<slot_granted>(fixture.scheduler.submit(hurried, now)) == 0);
}

// Guards against batch work that avoids sound upstreams for good, because nodes that once ejected them get no run to learn better.
TEST_CASE("request_scheduler stops to report an upstream as degraded some seconds after its ejection has ended")
{
    scheduler_fixture fixture(1);
    for (int failure = 0; failure < 3; ++failure) {
        const slot_request request = fixture.batch();
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(request, start)) == 1);
        (void)fixture.scheduler.released(request.id, {.outcome = attempt_outcome::Failed}, start);
    }
    const auto isReported = [&](time_point now) {
        const auto usage = fixture.scheduler.usage(now);
        const auto entry = usage.find(keyOf(upstream_id("u0")));
        return entry != usage.end() && entry->second.degraded;
    };
    CHECK(isReported(start));
    CHECK(isReported(start + 3s));
    CHECK_FALSE(isReported(start + 10s));
}

// Guards against batch runs that wait for good in a cell whose upstreams have all left, while other cells have free slots.
TEST_CASE("request_scheduler runs batch work of a cell that has lost its upstreams at other upstreams of the service")
{
    scheduler_fixture fixture(40);
    constexpr std::uint32_t slots = 4;
    const upstream_cell cell{.index = 1, .count = 2};
    const bool isLate = GENERATE(false, true); // Whether the run comes after the loss.
    std::vector<replica> others;
    std::size_t members = 0;
    for (const replica &upstream : fixture.upstreams) {
        if (cell.contains(upstream.id)) {
            ++members;
        } else {
            others.push_back(upstream);
        }
    }
    REQUIRE(others.size() < fixture.upstreams.size());
    const auto ofCell = [&] {
        slot_request request = fixture.batch();
        request.cell = cell;
        return request;
    };
    for (std::size_t run = 0; run < members * slots; ++run) {
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(ofCell(), start)) == 1);
    }
    slot_request bound = ofCell();
    bound.version = "v2"; // Of no upstream.
    slot_actions actions;
    if (isLate) {
        REQUIRE(fixture.scheduler.setUpstreams(others, start + 1s).empty());
        actions = fixture.scheduler.submit(ofCell(), start + 1s);
    } else {
        REQUIRE(fixture.scheduler.submit(ofCell(), start).empty());
        actions = fixture.scheduler.setUpstreams(others, start + 1s);
    }
    REQUIRE(countOf<slot_granted>(actions) == 1);
    CHECK_FALSE(cell.contains(std::get<slot_granted>(actions.front()).upstream));
    CHECK(fixture.scheduler.waitingBatch() == 0);
    CHECK(countOf<slot_rejected>(fixture.scheduler.submit(bound, start + 1s)) == 1);
}

// Guards against online requests that are held until their time is over, although their service has lost its last upstream.
TEST_CASE("request_scheduler rejects waiting online runs at once when their last upstream leaves")
{
    scheduler_fixture fixture(1);
    for (int run = 0; run < 4; ++run) {
        REQUIRE(countOf<slot_granted>(fixture.scheduler.submit(fixture.online(), start)) == 1);
    }
    slot_request waiting = fixture.online();
    waiting.sentBefore = GENERATE(false, true);
    REQUIRE(fixture.scheduler.submit(waiting, start).empty());
    fixture.upstreams.front().draining = true;
    const slot_actions actions = fixture.scheduler.setUpstreams(fixture.upstreams, start + 1ms);
    REQUIRE(countOf<slot_rejected>(actions) == 1);
    const slot_rejected rejected = std::get<slot_rejected>(actions.front());
    CHECK(rejected.request == waiting.id);
    CHECK(rejected.reason == end_reason::NoUpstream);
    CHECK(rejected.retryAfter >= 500ms);
}
