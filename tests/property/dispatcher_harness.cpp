#include "dispatcher_harness.h"

#include <iterator>
#include <stdexcept>

namespace banyan::test {

namespace {

constexpr std::uint32_t upstreamCount = 5;
constexpr std::uint32_t shortTokens = 50;
constexpr std::uint32_t longTokens = 4000;

void require(bool holds, const std::string &invariant)
{
    if (!holds) {
        throw std::logic_error("violated: " + invariant);
    }
}

template<typename Map>
auto pickFrom(const Map &map, std::uint32_t pick)
{
    return std::next(map.begin(), pick % map.size());
}

std::optional<attempt_outcome> outcomeOf(event_kind kind)
{
    switch (kind) {
    case event_kind::Succeed:
        return attempt_outcome::Succeeded;
    case event_kind::Answer:
        return attempt_outcome::Answered;
    case event_kind::LoseAttempt:
        return attempt_outcome::Lost;
    case event_kind::RejectAttempt:
        return attempt_outcome::Refused;
    case event_kind::FailToSend:
        return attempt_outcome::NotSent;
    case event_kind::FailAttempt:
        return attempt_outcome::Failed;
    case event_kind::TimeOut:
        return attempt_outcome::TimedOut;
    default:
        return std::nullopt;
    }
}

} // namespace

dispatcher_harness::dispatcher_harness(const dispatcher_options &options)
    : m_options(options)
    , m_dispatcher(options)
{
    changeUpstreams((1U << upstreamCount) - 1);
}

void dispatcher_harness::apply(const dispatcher_event &event)
{
    m_now += std::chrono::milliseconds(event.delayMs);
    tickDue();
    if (const auto outcome = outcomeOf(event.kind)) {
        endAttempt(event, *outcome);
    } else if (event.kind == event_kind::SubmitOnline) {
        submit(event, work_class::Online);
    } else if (event.kind == event_kind::SubmitBatch) {
        submit(event, work_class::Batch);
    } else if (event.kind == event_kind::FirstByte && !m_attempts.empty()) {
        perform(m_dispatcher.firstByte(pickFrom(m_attempts, event.pick)->first, m_now));
    } else if (event.kind == event_kind::Progress && !m_attempts.empty()) {
        perform(m_dispatcher.progressed(pickFrom(m_attempts, event.pick)->first, 1 + event.pick % 5, m_now));
    } else if (event.kind == event_kind::CancelRequest && !m_requests.empty()) {
        perform(m_dispatcher.cancel(pickFrom(m_requests, event.pick)->first, m_now));
    } else if (event.kind == event_kind::ChangeUpstreams) {
        changeUpstreams(event.pick);
    } else if (event.kind == event_kind::Tick) {
        perform(m_dispatcher.tick(m_now));
    } else if (event.kind == event_kind::Drain) {
        m_draining = true;
        perform(m_dispatcher.drain(m_now));
    }
    checkDeadlines();
    checkPriority();
    checkBudgets();
}

void dispatcher_harness::tickDue()
{
    const auto due = m_dispatcher.nextWakeUp();
    if (due && *due <= m_now) {
        perform(m_dispatcher.tick(m_now));
    }
}

void dispatcher_harness::submit(const dispatcher_event &event, work_class value)
{
    const request_id id("r" + std::to_string(m_requests.size()));
    const auto lifetime = event.urgent ? std::chrono::milliseconds(300) : std::chrono::milliseconds(60000);
    const dispatch_request request{
        .id = id,
        .caller = caller_id("c" + std::to_string(event.pick % 3)),
        .service = service_name("advice"),
        .workClass = value,
        .repeatable = event.repeatable,
        .resumable = event.pick % 2 == 0,
        .fingerprint = 1000 + m_requests.size(),
        .prefixHash = event.pick % 4,
        .expectedTokens = event.pick % 7 == 0 ? longTokens : shortTokens,
        .deadline = m_now + lifetime,
    };
    m_requests[id].request = request;
    perform(m_dispatcher.submit(request, m_now));
}

void dispatcher_harness::endAttempt(const dispatcher_event &event, attempt_outcome outcome)
{
    if (m_attempts.empty()) {
        return;
    }
    const auto [attempt, observed] = *pickFrom(m_attempts, event.pick);
    observed_request &request = m_requests.at(observed.request);
    m_attempts.erase(attempt);
    request.inFlight.erase(attempt);
    const bool notRun = outcome == attempt_outcome::NotSent || outcome == attempt_outcome::Refused;
    request.mayHaveRun += notRun ? 0 : 1;
    request.lastFailed = outcome != attempt_outcome::Succeeded && outcome != attempt_outcome::Answered;
    request.failures += request.lastFailed ? 1 : 0;
    perform(m_dispatcher.attemptEnded(attempt, {.outcome = outcome, .tokens = 20}, m_now));
}

void dispatcher_harness::changeUpstreams(std::uint32_t pick)
{
    std::vector<upstream_info> upstreams;
    m_usable.clear();
    for (std::uint32_t i = 0; i < upstreamCount; ++i) {
        const upstream_id id("u" + std::to_string(i));
        const bool listed = ((pick >> i) & 1U) != 0;
        const bool leaving = ((pick >> (i + upstreamCount)) & 1U) != 0;
        if (listed) {
            upstreams.push_back({.id = id, .address = {}, .leaving = leaving});
        }
        if (listed && !leaving) {
            m_usable.insert(id);
        }
    }
    perform(m_dispatcher.setUpstreams(upstreams, m_now));
}

void dispatcher_harness::perform(const dispatch_actions &actions)
{
    for (const dispatch_action &action : actions) {
        std::visit(
            [&](const auto &value) {
                execute(value);
            },
            action);
    }
}

void dispatcher_harness::execute(const start_attempt &action)
{
    observed_request &request = m_requests.at(action.request);
    require(!request.result, "no attempt after the end of its request");
    require(m_usable.contains(action.upstream), "no attempt is started on an upstream that is leaving or was removed");
    require(request.request.repeatable || request.mayHaveRun == 0, "a request that is not repeatable is sent at most once");
    require(request.request.repeatable || request.inFlight.empty(), "a request that is not repeatable has one attempt at a time");
    require(request.inFlight.empty() || action.hedge, "a second attempt beside a first one is a hedge");
    require(!action.hedge || request.inFlight.size() == 1, "a hedge is started only beside exactly one attempt");
    for (const attempt_id other : request.inFlight) {
        require(m_attempts.at(other).upstream != action.upstream, "a hedge goes to another upstream");
    }
    require(!m_draining || request.started > 0, "no request is started for the first time after a drain");
    if (action.hedge) {
        ++hedges;
    } else if (request.started == 0) {
        ++firstAttempts;
    } else if (request.lastFailed) {
        ++retries;
    }
    ++request.started;
    request.inFlight.insert(action.attempt);
    m_attempts[action.attempt] = {.request = action.request, .upstream = action.upstream};
}

void dispatcher_harness::execute(const cancel_attempt &action)
{
    require(m_attempts.contains(action.attempt), "only an attempt in flight is cancelled");
    observed_request &request = m_requests.at(m_attempts.at(action.attempt).request);
    ++request.mayHaveRun;
    request.lastFailed = false;
    request.inFlight.erase(action.attempt);
    m_attempts.erase(action.attempt);
}

void dispatcher_harness::execute(const choose_attempt &action)
{
    observed_request &request = m_requests.at(action.request);
    require(!request.result, "no choice after the end of a request");
    require(!request.chosen, "an attempt is chosen once");
    request.chosen = action.attempt;
}

void dispatcher_harness::execute(const finish_request &action)
{
    observed_request &request = m_requests.at(action.request);
    require(!request.result, "a request ends once");
    require(request.inFlight.empty(), "all attempts are over or cancelled before the end of their request");
    request.result = action.result;
    const disposition what = action.result.what;
    require(what != disposition::NotRun || request.mayHaveRun == 0, "NotRun is reported only for a request that did not run");
    require(what != disposition::Completed || (action.attempt && action.attempt == request.chosen),
            "a completed request has the answer of the chosen attempt");
    require(request.request.repeatable || request.mayHaveRun == 0 || what != disposition::Failed,
            "a request that is not repeatable and may have run does not end as Failed");
}

void dispatcher_harness::checkDeadlines() const
{
    for (const auto &[id, request] : m_requests) {
        require(request.result || request.request.deadline > m_now, "a request has its final answer at its deadline");
    }
}

/// Whether a short or long online request without failed attempts is waiting for a slot. After a failure it may be waiting
/// for its retry delay instead.
bool dispatcher_harness::onlineWaits(bool isLong) const
{
    for (const auto &[id, request] : m_requests) {
        const bool waiting = !request.result && request.inFlight.empty() && request.failures == 0;
        const bool matches = (request.request.expectedTokens == longTokens) == isLong;
        if (waiting && matches && request.request.workClass == work_class::Online) {
            return true;
        }
    }
    return false;
}

void dispatcher_harness::checkPriority() const
{
    std::set<upstream_id> good;
    for (const upstream_status &upstream : m_dispatcher.upstreams(m_now)) {
        const bool full = upstream.onlineInFlight >= upstream.onlineLimit;
        const bool fullOfLong = upstream.onlineLongInFlight >= upstream.onlineLongLimit;
        if (upstream.condition == upstream_condition::Good) {
            good.insert(upstream.id);
            require(full || !onlineWaits(false), "short online work waits only where online work holds all slots");
            require(full || fullOfLong || !onlineWaits(true), "long online work waits only where online work holds the slots for it");
        }
    }
    if (!onlineWaits(false)) {
        return;
    }
    for (const auto &[id, attempt] : m_attempts) {
        const dispatch_request &request = m_requests.at(attempt.request).request;
        const bool preemptible = request.workClass == work_class::Batch && request.repeatable;
        require(!preemptible || !good.contains(attempt.upstream), "online work does not wait while batch work holds a slot");
    }
}

void dispatcher_harness::checkBudgets() const
{
    const double seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
    require(retries <= m_options.retryBurst + m_options.retryShare * firstAttempts + seconds, "retries stay within their budget");
    require(hedges <= m_options.hedgeBurst + m_options.hedgeShare * firstAttempts, "hedges stay within their budget");
}

void dispatcher_harness::runToCompletion()
{
    for (int round = 0; round < 1000 && !m_attempts.empty(); ++round) {
        apply({.kind = event_kind::Succeed, .delayMs = 10});
    }
    apply({.kind = event_kind::Tick, .delayMs = 61000});
    for (const auto &[id, request] : m_requests) {
        require(request.result.has_value(), "each request ends, but " + id.text() + " did not");
    }
    require(m_attempts.empty(), "no attempt outlives its request");
}

} // namespace banyan::test
