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

TEST_CASE("dispatcher sends a refused request that is not repeatable to another upstream")
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

TEST_CASE("dispatcher reports a lost request that is not repeatable as of unknown outcome")
{
    dispatcher cell = makeCell();
    dispatch_request request = requestNamed("r");
    request.repeatable = false;
    const auto first = only<start_attempt>(cell.submit(request, start));
    const auto finished = only<finish_request>(cell.attemptEnded(first[0].attempt, {.outcome = attempt_outcome::Lost}, start));
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].result == final_result{.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost});
}

TEST_CASE("dispatcher gives an attempt more time where its answer comes whole, as far as the deadline allows")
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

TEST_CASE("dispatcher ends waiting work as not run when it drains")
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
