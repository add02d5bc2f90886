#include "dispatcher_harness.h"
#include "naive_dispatcher.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace banyan;
using namespace banyan::test;

namespace {

/// Weighted so that most events make progress. Faults are frequent, cancellations and changes of the upstreams rare.
rc::Gen<event_kind> genKind()
{
    return rc::gen::weightedElement<event_kind>({
        {12, event_kind::SubmitOnline},
        {16, event_kind::SubmitBatch},
        {10, event_kind::FirstByte},
        {6, event_kind::Progress},
        {10, event_kind::Succeed},
        {1, event_kind::Answer},
        {3, event_kind::LoseAttempt},
        {2, event_kind::RejectAttempt},
        {2, event_kind::FailToSend},
        {1, event_kind::FailAttempt},
        {1, event_kind::TimeOut},
        {1, event_kind::CancelRequest},
        {1, event_kind::ChangeUpstreams},
        {2, event_kind::Tick},
    });
}

rc::Gen<std::uint32_t> genDelay()
{
    return rc::gen::weightedOneOf<std::uint32_t>({
        {3, rc::gen::just<std::uint32_t>(0)},
        {3, rc::gen::inRange<std::uint32_t>(0, 50)},
        {1, rc::gen::inRange<std::uint32_t>(0, 2000)},
    });
}

rc::Gen<dispatcher_event> genEvent()
{
    return rc::gen::build<dispatcher_event>(
        rc::gen::set(&dispatcher_event::kind, genKind()),
        rc::gen::set(&dispatcher_event::pick, rc::gen::inRange<std::uint32_t>(0, 1024)),
        rc::gen::set(&dispatcher_event::repeatable, rc::gen::weightedElement<bool>({{4, true}, {1, false}})),
        rc::gen::set(&dispatcher_event::urgent, rc::gen::weightedElement<bool>({{1, true}, {6, false}})),
        rc::gen::set(&dispatcher_event::delayMs, genDelay()));
}

rc::Gen<std::vector<dispatcher_event>> genEvents()
{
    return rc::gen::scale(4.0, rc::gen::container<std::vector<dispatcher_event>>(genEvent()));
}

/// Few slots, so that random events reach every limit.
dispatcher_options smallOptions()
{
    return {.initialSlots = 2, .maximumSlots = 4, .onlineQueueLimit = 12, .batchQueueLimit = 12, .retryBurst = 3, .hedgeBurst = 2};
}

/// A request and the outcomes of its attempts before one succeeds.
struct scripted_request
{
    work_class workClass = work_class::Online;
    bool repeatable = true;
    std::vector<attempt_outcome> failures;
};

rc::Gen<scripted_request> genScriptedRequest()
{
    return rc::gen::build<scripted_request>(
        rc::gen::set(&scripted_request::workClass, rc::gen::element(work_class::Online, work_class::Batch)),
        rc::gen::set(&scripted_request::repeatable, rc::gen::arbitrary<bool>()),
        rc::gen::set(&scripted_request::failures,
                     rc::gen::resize(2, rc::gen::container<std::vector<attempt_outcome>>(rc::gen::just(attempt_outcome::Refused)))));
}

/// The requests that complete when each attempt ends as scripted for its request. A preempted attempt consumes no outcome.
template<typename Dispatcher>
std::set<request_id> completionsOf(Dispatcher cell, const std::vector<scripted_request> &requests)
{
    time_point now;
    std::map<attempt_id, request_id> running;
    std::map<request_id, std::vector<attempt_outcome>> scripts;
    std::set<request_id> completed;
    const auto perform = [&](const dispatch_actions &actions) {
        for (const dispatch_action &action : actions) {
            if (const auto *const started = std::get_if<start_attempt>(&action)) {
                running[started->attempt] = started->request;
            } else if (const auto *const cancelled = std::get_if<cancel_attempt>(&action)) {
                running.erase(cancelled->attempt);
            } else if (const auto *const finished = std::get_if<finish_request>(&action)) {
                if (finished->result.what == disposition::Completed) {
                    completed.insert(finished->request);
                }
            }
        }
    };
    const std::vector<upstream_info> upstreams{{.id = upstream_id("a")}, {.id = upstream_id("b")}, {.id = upstream_id("c")}};
    perform(cell.setUpstreams(upstreams, now));
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const request_id id("r" + std::to_string(i));
        scripts[id] = requests[i].failures;
        perform(cell.submit({.id = id,
                             .caller = caller_id("c" + std::to_string(i % 3)),
                             .workClass = requests[i].workClass,
                             .repeatable = requests[i].repeatable,
                             .fingerprint = i + 1,
                             .deadline = now + std::chrono::hours(24)},
                            now));
    }
    while (!running.empty() || cell.nextWakeUp()) {
        if (running.empty()) {
            now = std::max(now, *cell.nextWakeUp());
            if (now >= time_point() + std::chrono::hours(23)) {
                break;
            }
            perform(cell.tick(now));
            continue;
        }
        const auto [attempt, request] = *running.begin();
        running.erase(attempt);
        std::vector<attempt_outcome> &script = scripts[request];
        const attempt_outcome outcome = script.empty() ? attempt_outcome::Succeeded : script.back();
        if (!script.empty()) {
            script.pop_back();
        }
        perform(cell.attemptEnded(attempt, {.outcome = outcome}, now));
    }
    return completed;
}

/// A dispatcher whose upstreams crash and lose all their attempts when they run a request whose id starts with "crash".
class crashing_cell
{
public:
    explicit crashing_cell(std::uint32_t upstreams)
        : m_dispatcher(dispatcher_options{.initialSlots = 4})
    {
        std::vector<upstream_info> infos;
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            infos.push_back({.id = upstream_id("u" + std::to_string(i))});
        }
        perform(m_dispatcher.setUpstreams(infos, m_now));
    }

    void submit(const std::string &name, std::uint64_t fingerprint)
    {
        perform(m_dispatcher.submit(
            {.id = request_id(name), .caller = caller_id("c"), .fingerprint = fingerprint, .deadline = m_now + std::chrono::hours(1)},
            m_now));
    }

    /// Ends one attempt: successfully, or with a crash of its upstream if it belongs to the crashing content.
    void endOne(std::uint32_t pick)
    {
        m_now += std::chrono::milliseconds(5);
        perform(m_dispatcher.tick(m_now));
        if (m_attempts.empty()) {
            m_now = std::max(m_now, m_dispatcher.nextWakeUp().value_or(m_now));
            perform(m_dispatcher.tick(m_now));
            return;
        }
        const start_attempt ended = std::next(m_attempts.begin(), static_cast<std::ptrdiff_t>(pick % m_attempts.size()))->second;
        if (ended.request.text().rfind("crash", 0) == 0) {
            crash(ended.upstream);
        } else {
            end(ended.attempt, attempt_outcome::Succeeded);
        }
    }

    [[nodiscard]] bool busy() const
    {
        return m_results.size() < m_submitted;
    }

    [[nodiscard]] const std::map<request_id, final_result> &results() const
    {
        return m_results;
    }

    std::uint32_t crashes = 0;

private:
    void crash(const upstream_id &upstream)
    {
        ++crashes;
        std::vector<attempt_id> lost;
        for (const auto &[id, attempt] : m_attempts) {
            if (attempt.upstream == upstream) {
                lost.push_back(id);
            }
        }
        for (const attempt_id attempt : lost) {
            end(attempt, attempt_outcome::Lost);
        }
    }

    void end(attempt_id attempt, attempt_outcome outcome)
    {
        m_attempts.erase(attempt);
        perform(m_dispatcher.attemptEnded(attempt, {.outcome = outcome}, m_now));
    }

    void perform(const dispatch_actions &actions)
    {
        for (const dispatch_action &action : actions) {
            if (const auto *const started = std::get_if<start_attempt>(&action)) {
                m_attempts[started->attempt] = *started;
                m_seen.insert(started->request);
            } else if (const auto *const cancelled = std::get_if<cancel_attempt>(&action)) {
                m_attempts.erase(cancelled->attempt);
            } else if (const auto *const finished = std::get_if<finish_request>(&action)) {
                m_results[finished->request] = finished->result;
                m_seen.insert(finished->request);
            }
        }
        m_submitted = m_seen.size();
    }

    dispatcher m_dispatcher;
    time_point m_now;
    std::map<attempt_id, start_attempt> m_attempts;
    std::map<request_id, final_result> m_results;
    std::set<request_id> m_seen;
    std::size_t m_submitted = 0;
};

} // namespace

TEST_CASE("dispatcher quarantines a content that crashes upstreams and completes all others")
{
    rc::prop("two crashes, then rejected while quarantined", [] {
        crashing_cell cell(*rc::gen::inRange<std::uint32_t>(3, 9));
        const auto otherRequests = *rc::gen::inRange<std::uint32_t>(0, 30);
        const auto position = *rc::gen::inRange<std::uint32_t>(0, otherRequests + 1);
        for (std::uint32_t i = 0; i <= otherRequests; ++i) {
            if (i == position) {
                cell.submit("crash", 1);
            } else {
                cell.submit("r" + std::to_string(i), 100 + i);
            }
        }
        for (std::uint32_t round = 0; round < 500 && cell.busy(); ++round) {
            cell.endOne(*rc::gen::inRange<std::uint32_t>(0, 1000));
        }
        cell.submit("crash again", 1);
        RC_ASSERT(cell.crashes == 2U);
        for (const auto &[id, result] : cell.results()) {
            if (id == request_id("crash")) {
                RC_ASSERT(result.what == disposition::Failed);
                RC_ASSERT(result.reason == end_reason::CrashesUpstreams);
            } else if (id == request_id("crash again")) {
                RC_ASSERT(result.what == disposition::NotRun);
                RC_ASSERT(result.retryAfter.has_value());
            } else {
                RC_ASSERT(result.what == disposition::Completed);
            }
        }
        RC_ASSERT(cell.results().size() == otherRequests + 2U);
    });
}

TEST_CASE("dispatcher keeps its guarantees in any order of events and faults")
{
    rc::prop("each action and result is allowed by dispatcher.h", [] {
        dispatcher_harness harness(smallOptions());
        for (const dispatcher_event &event : *genEvents()) {
            harness.apply(event);
        }
        harness.runToCompletion();
    });
}

TEST_CASE("dispatcher keeps its guarantees while it drains")
{
    rc::prop("waiting requests end at once and attempts in flight continue", [] {
        dispatcher_harness harness(smallOptions());
        for (const dispatcher_event &event : *genEvents()) {
            harness.apply(event);
        }
        const std::size_t inFlight = harness.attempts().size();
        harness.apply({.kind = event_kind::Drain});
        RC_ASSERT(harness.attempts().size() == inFlight);
        for (const dispatcher_event &event : *genEvents()) {
            harness.apply(event);
        }
        harness.runToCompletion();
    });
}

TEST_CASE("dispatcher completes the same requests as a naive queue")
{
    rc::prop("whatever upstreams reject, as long as no budget is exhausted", [] {
        const auto requests = *rc::gen::container<std::vector<scripted_request>>(genScriptedRequest());
        const std::set<request_id> expected = completionsOf(naive_dispatcher(4), requests);
        RC_ASSERT(completionsOf(dispatcher(dispatcher_options{.initialSlots = 2, .retryBurst = 1000}), requests) == expected);
    });
}
