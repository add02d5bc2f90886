#include "banyan/core/dispatcher.h"

#include <catch2/catch.hpp>

using namespace banyan;

namespace {

constexpr time_point start{};

upstream_info upstreamNamed(const std::string &name)
{
    return {.id = upstream_id(name), .address = {.address = "127.0.0.1", .port = 1}};
}

dispatch_request requestNamed(const std::string &name, work_class value = work_class::Online)
{
    return {.id = request_id(name), .caller = caller_id("niebla"), .workClass = value, .deadline = start + std::chrono::seconds(60)};
}

/// The actions of type @p Action among @p actions.
template<typename Action>
std::vector<Action> only(const dispatch_actions &actions)
{
    std::vector<Action> result;
    for (const dispatch_action &action : actions) {
        if (const auto *const found = std::get_if<Action>(&action)) {
            result.push_back(*found);
        }
    }
    return result;
}

/// A dispatcher with the upstreams "a" and "b".
dispatcher makeCell(const dispatcher_options &options = {})
{
    dispatcher cell(options);
    const std::vector<upstream_info> upstreams{upstreamNamed("a"), upstreamNamed("b")};
    REQUIRE(cell.setUpstreams(upstreams, start).empty());
    return cell;
}

} // namespace

TEST_CASE("dispatcher completes a request with the answer of its attempt")
{
    dispatcher cell = makeCell();
    const auto started = only<start_attempt>(cell.submit(requestNamed("r"), start));
    REQUIRE(started.size() == 1);
    CHECK(only<choose_attempt>(cell.firstByte(started[0].attempt, start)).size() == 1);
    const auto finished = only<finish_request>(cell.attemptEnded(started[0].attempt, {}, start));
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.what == disposition::Completed);
    CHECK(finished[0].attempt == started[0].attempt);
}

TEST_CASE("dispatcher sends a rejected request that is not repeatable to another upstream")
{
    dispatcher cell = makeCell();
    dispatch_request request = requestNamed("r");
    request.repeatable = false;
    const auto first = only<start_attempt>(cell.submit(request, start));
    REQUIRE(cell.attemptEnded(first[0].attempt, {.outcome = attempt_outcome::Refused}, start).empty());
    const auto second = only<start_attempt>(cell.tick(cell.nextWakeUp().value()));
    REQUIRE(second.size() == 1);
    CHECK(second[0].upstream != first[0].upstream);
}

TEST_CASE("dispatcher reports OutcomeUnknown for a lost request that is not repeatable")
{
    dispatcher cell = makeCell();
    dispatch_request request = requestNamed("r");
    request.repeatable = false;
    const auto first = only<start_attempt>(cell.submit(request, start));
    const auto finished = only<finish_request>(cell.attemptEnded(first[0].attempt, {.outcome = attempt_outcome::Lost}, start));
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result == final_result{.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost});
}

TEST_CASE("dispatcher gives an attempt without streaming a longer timeout, bounded by its deadline")
{
    using std::chrono::seconds;
    struct timeout_case
    {
        bool streamed;
        bool repeatable;
        duration left;
        duration expected;
    };
    const timeout_case given = GENERATE(values<timeout_case>({{true, true, seconds(300), seconds(30)},
                                                              {false, true, seconds(300), seconds(150)},
                                                              {false, true, seconds(40), seconds(30)},
                                                              {false, false, seconds(300), seconds(300)},
                                                              {false, true, seconds(86400), seconds(600)}}));
    dispatcher cell = makeCell({.attemptTimeout = seconds(30), .wholeAnswerTimeout = seconds(600)});
    dispatch_request request = requestNamed("r");
    request.streamed = given.streamed;
    request.repeatable = given.repeatable;
    request.deadline = start + given.left;
    const auto started = only<start_attempt>(cell.submit(request, start));
    REQUIRE(started.size() == 1);
    CHECK(started[0].timeout == given.expected);
}

TEST_CASE("dispatcher finishes waiting requests as NotRun when it drains")
{
    dispatcher cell = makeCell({.initialSlots = 1});
    for (const char *name : {"r1", "r2"}) {
        REQUIRE(only<start_attempt>(cell.submit(requestNamed(name), start)).size() == 1);
    }
    REQUIRE(cell.submit(requestNamed("waiting"), start).empty());
    const auto finished = only<finish_request>(cell.drain(start));
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].request == request_id("waiting"));
    CHECK(finished[0].result.what == disposition::NotRun);
}

TEST_CASE("dispatcher rejects a request at once if it cannot start before its deadline")
{
    dispatcher cell = makeCell({.initialSlots = 1, .maximumSlots = 1});
    time_point now = start;
    for (int i = 0; i < 20; ++i) {
        const auto started = only<start_attempt>(cell.submit(requestNamed("past" + std::to_string(i)), now));
        REQUIRE(started.size() == 1);
        now += std::chrono::seconds(1);
        REQUIRE(only<finish_request>(cell.attemptEnded(started[0].attempt, {}, now)).size() == 1);
    }
    for (int i = 0; i < 22; ++i) {
        CHECK(only<finish_request>(cell.submit(requestNamed("waiting" + std::to_string(i)), now)).empty());
    }
    dispatch_request unreachable = requestNamed("hopeless");
    unreachable.deadline = now + std::chrono::seconds(2);
    const auto finished = only<finish_request>(cell.submit(unreachable, now));
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result.what == disposition::NotRun);
    CHECK(finished[0].result.reason == end_reason::DeadlineUnreachable);
    CHECK(finished[0].result.retryAfter.has_value());
}

TEST_CASE("dispatcher prefers the upstream that ran the same prefix")
{
    dispatcher cell = makeCell({.initialSlots = 8});
    dispatch_request first = requestNamed("first");
    first.prefixHash = 5;
    const auto other = only<start_attempt>(cell.submit(requestNamed("other"), start));
    const auto cached = only<start_attempt>(cell.submit(first, start));
    REQUIRE(cached[0].upstream != other[0].upstream);
    REQUIRE(only<finish_request>(cell.attemptEnded(other[0].attempt, {}, start)).size() == 1);
    dispatch_request second = requestNamed("second");
    second.prefixHash = 5;
    CHECK(only<start_attempt>(cell.submit(second, start))[0].upstream == cached[0].upstream);
}

TEST_CASE("dispatcher starts a batch request before others of its class after three preemptions")
{
    dispatcher cell({.initialSlots = 1, .maximumSlots = 1});
    const std::vector<upstream_info> upstreams{upstreamNamed("a")};
    REQUIRE(cell.setUpstreams(upstreams, start).empty());
    dispatch_request preempted = requestNamed("unlucky", work_class::Batch);
    REQUIRE(only<start_attempt>(cell.submit(preempted, start)).size() == 1);
    for (int round = 0; round < 3; ++round) {
        const auto online = only<start_attempt>(cell.submit(requestNamed("online" + std::to_string(round)), start));
        REQUIRE(online.size() == 1);
        dispatch_request sooner = requestNamed("sooner" + std::to_string(round), work_class::Batch);
        sooner.deadline = start + std::chrono::seconds(30);
        if (round == 2) {
            REQUIRE(cell.submit(sooner, start).empty());
        }
        const auto restarted = only<start_attempt>(cell.attemptEnded(online[0].attempt, {}, start));
        REQUIRE(restarted.size() == 1);
        CHECK(restarted[0].request == preempted.id);
    }
    CHECK(cell.counters().preempted == 3);
}

TEST_CASE("dispatcher uses a load report as a hint only")
{
    dispatcher cell = makeCell({.initialSlots = 8});
    cell.loadReported(upstream_id("a"), 1000, 1000, start, start);
    const auto started = only<start_attempt>(cell.submit(requestNamed("r0"), start));
    CHECK(started[0].upstream == upstream_id("b"));
    int onA = 0;
    for (int i = 1; i < 8; ++i) {
        const auto next = only<start_attempt>(cell.submit(requestNamed("r" + std::to_string(i)), start));
        onA += next[0].upstream == upstream_id("a") ? 1 : 0;
    }
    CHECK(onA > 0);
}

TEST_CASE("dispatcher starts short work while long work fills its share of the slots")
{
    dispatcher cell = makeCell();
    for (int i = 0; i < 32; ++i) {
        dispatch_request usual = requestNamed("usual" + std::to_string(i));
        usual.expectedTokens = 50;
        const auto started = only<start_attempt>(cell.submit(usual, start));
        REQUIRE(only<finish_request>(cell.attemptEnded(started[0].attempt, {}, start)).size() == 1);
    }
    std::size_t running = 0;
    for (int i = 0; i < 20; ++i) {
        dispatch_request longRequest = requestNamed("long" + std::to_string(i));
        longRequest.expectedTokens = 4000;
        running += only<start_attempt>(cell.submit(longRequest, start)).size();
    }
    CHECK(running == 6);
    CHECK(only<start_attempt>(cell.submit(requestNamed("short"), start)).size() == 1);
}

TEST_CASE("dispatcher attributes no lost upstream to batch work and goes on scheduling it")
{
    dispatcher cell = makeCell({.crashLimit = 2});
    dispatch_request request = requestNamed("item", work_class::Batch);
    request.fingerprint = 7;
    std::vector<start_attempt> started = only<start_attempt>(cell.submit(request, start));
    for (int loss = 0; loss < 3; ++loss) {
        REQUIRE(started.size() == 1);
        const dispatch_actions ended =
            cell.attemptEnded(started[0].attempt, {.outcome = attempt_outcome::Lost}, cell.nextWakeUp().value_or(start));
        REQUIRE(only<finish_request>(ended).empty());
        started = only<start_attempt>(ended);
        for (int tick = 0; tick < 10 && started.empty(); ++tick) {
            started = only<start_attempt>(cell.tick(cell.nextWakeUp().value()));
        }
    }
    request.id = request_id("the same content again");
    CHECK(only<finish_request>(cell.submit(request, start)).empty());
}

// Guards against minutes of refusals after all upstreams have failed, and against requests that may not be repeated among the probes.
TEST_CASE("dispatcher probes ejected upstreams every second while it has no other, and uses them again as soon as they answer")
{
    dispatcher cell = makeCell({.maximumAttempts = 1});
    int lastId = 0;
    const auto failsAt = [&](time_point now) {
        const auto started = only<start_attempt>(cell.submit(requestNamed("r" + std::to_string(++lastId), work_class::Batch), now));
        for (const start_attempt &attempt : started) {
            (void)cell.attemptEnded(attempt.attempt, {.outcome = attempt_outcome::Failed}, now);
        }
        return !started.empty();
    };
    time_point now = start;
    for (; now < start + std::chrono::seconds(20); now += std::chrono::milliseconds(100)) {
        (void)failsAt(now);
    }
    dispatch_request unrepeatable = requestNamed("once");
    unrepeatable.repeatable = false;
    const auto rejected = only<finish_request>(cell.submit(unrepeatable, now));
    REQUIRE(rejected.size() == 1);
    CHECK(rejected[0].result.reason == end_reason::NoUpstream);
    int probes = 0;
    for (const time_point end = now + std::chrono::seconds(2); now < end; now += std::chrono::milliseconds(100)) {
        probes += failsAt(now) ? 1 : 0;
    }
    CHECK(probes >= 2);
    CHECK(probes <= 6);
    std::vector<start_attempt> recovered;
    for (const time_point end = now + std::chrono::seconds(2); now < end && recovered.size() < 4; now += std::chrono::milliseconds(50)) {
        for (const start_attempt &attempt : only<start_attempt>(cell.submit(requestNamed("s" + std::to_string(++lastId)), now))) {
            recovered.push_back(attempt);
            (void)cell.firstByte(attempt.attempt, now);
            (void)cell.attemptEnded(attempt.attempt, {}, now);
        }
    }
    CHECK(recovered.size() == 4);
}
