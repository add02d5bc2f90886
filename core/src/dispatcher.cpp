#include "banyan/core/dispatcher.h"

#include "banyan/core/crash_guard.h"
#include "dispatcher_state.h"
#include "request_queue.h"
#include "retry_backoff.h"
#include "timer_queue.h"
#include "token_budget.h"
#include "upstream_pool.h"
#include "work_length_estimator.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <unordered_map>

namespace banyan {

namespace {

constexpr duration overloadRetryAfter = std::chrono::seconds(1);
constexpr duration noUpstreamRetryAfter = std::chrono::seconds(2);
constexpr std::uint32_t preemptionsBeforePromotion = 3; ///< A batch request preempted this often goes before all others of its class.
constexpr double defaultExpectedTokens = 100; ///< Cost of a request without an estimate of its tokens.
constexpr duration agingHorizon =
    std::chrono::minutes(10); ///< A batch request older than this goes before later ones, whatever their deadlines.
constexpr double deadlineAllowance = 4000; ///< Tokens by which a caller may exceed its share because of near deadlines.
constexpr double retriesPerSecond = 1; ///< Retry budget that accrues without any traffic.
constexpr duration batchRetryDelay = std::chrono::seconds(1); ///< Delay of a batch retry while the retry budget is exhausted.
constexpr duration shortestRetryAfter = std::chrono::milliseconds(100);
constexpr duration drainRetryAfter = std::chrono::milliseconds(0);

/// Whether an attempt with this outcome has certainly not run at the upstream.
bool certainlyNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::NotSent || outcome == attempt_outcome::Refused;
}

latency_kind latencyKindOf(const request_state &request)
{
    return request.request.streamed ? latency_kind::FirstToken : latency_kind::WholeAnswer;
}

bool isAnswer(attempt_outcome outcome)
{
    return outcome == attempt_outcome::Succeeded || outcome == attempt_outcome::Answered;
}

} // namespace

class dispatcher::implementation
{
public:
    explicit implementation(const dispatcher_options &options)
        : m_options(options)
        , m_upstreams(options)
        , m_retryBudget({.share = options.retryShare, .burst = options.retryBurst, .perSecond = retriesPerSecond})
        , m_hedgeBudget({.share = options.hedgeShare, .burst = options.hedgeBurst})
        , m_backoff(options.seed)
        , m_crashGuard({.quarantineThreshold = options.crashLimit, .quarantineDuration = options.quarantineDuration})
    {
    }

    dispatch_actions setUpstreams(std::span<const upstream_info> upstreams, time_point now);
    dispatch_actions submit(const dispatch_request &request, time_point now);
    dispatch_actions firstByte(attempt_id attempt, time_point now);
    dispatch_actions progressed(attempt_id attempt, std::uint32_t tokens, time_point now);
    dispatch_actions attemptEnded(attempt_id attempt, const attempt_result &result, time_point now);
    dispatch_actions cancel(const request_id &request, time_point now);
    dispatch_actions drain(time_point now);
    dispatch_actions tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;
    [[nodiscard]] cell_load load(time_point now) const;
    [[nodiscard]] std::vector<upstream_status> upstreams(time_point now) const
    {
        return m_upstreams.status(now);
    }
    [[nodiscard]] dispatcher_counters counters() const;
    void loadReported(const upstream_id &upstream, std::uint32_t requests, time_point reportedAt)
    {
        m_upstreams.loadReported(upstream, requests, reportedAt);
    }
    crash_guard &crashGuard()
    {
        return m_crashGuard;
    }

private:
    [[nodiscard]] static work_lane laneOf(const request_state &request);
    void enqueue(request_state &request);
    request_queue &queueOf(work_class value);
    work_length_estimator &lengthEstimatorOf(work_class value);
    [[nodiscard]] duration expectedWait(work_class value, const caller_id &caller, time_point now) const;
    void startQueued(time_point now);
    void startQueuedOfClass(work_class value, time_point now);
    void preemptExcessBatchWork(const upstream_state &upstream);
    [[nodiscard]] std::optional<attempt_id> preemptionVictim(const upstream_id &upstream) const;
    void preempt(attempt_id attempt);
    void countFirstAttempt(request_state &request);
    void startAttempt(request_state &request, const upstream_state &upstream, time_point now, bool hedge);
    [[nodiscard]] duration timeoutOf(const dispatch_request &request, time_point now) const;
    void armFirstByteTimer(request_state &request, time_point now);
    void cancelFirstByteTimer(request_state &request);
    void handleFirstByteOverdue(request_state &request, time_point now);
    void hedge(request_state &request, time_point now);
    void hedgeAttemptsOf(const upstream_id &upstream, time_point now);
    void recordHedgeWin(const request_state &request, const attempt_state &hedge, time_point now);
    void handleRetryDue(request_state &request, time_point now);
    void markLong(request_state &request);
    void armLongRunTimer(request_state &request, time_point now);
    void cancelLongRunTimer(request_state &request);
    void choose(request_state &request, attempt_id attempt);
    void finish(request_state &request, const final_result &result, std::optional<attempt_id> attempt = std::nullopt);
    void finishWithoutAnswer(request_state &request, end_reason reason, std::optional<duration> retryAfter);
    void finishQueued(end_reason reason, std::optional<duration> retryAfter);
    void cancelAttempt(attempt_id attempt);
    [[nodiscard]] bool recordLoss(const dispatch_request &request, const upstream_id &upstream, time_point now);
    [[nodiscard]] bool attemptsExhausted(const request_state &request) const;
    void attemptFailed(request_state &request, const attempt_result &result, time_point now);
    void scheduleRetry(request_state &request, duration delay, time_point now);
    void timerDue(const request_timer &timer, time_point now);
    dispatch_actions takeActions();

    dispatcher_options m_options;
    upstream_pool m_upstreams;
    std::unordered_map<request_id, request_state> m_requests;
    std::map<attempt_id, attempt_state> m_attempts;
    request_queue m_onlineQueue{0};
    request_queue m_batchQueue{deadlineAllowance};
    work_length_estimator m_onlineLength;
    work_length_estimator m_batchLength;
    timer_queue m_timers;
    token_budget m_retryBudget;
    token_budget m_hedgeBudget;
    retry_backoff m_backoff;
    crash_guard m_crashGuard;
    dispatch_actions m_actions;
    dispatcher_counters m_counters;
    std::uint64_t m_lastAttempt = 0;
    time_point m_tickedAt;
    bool m_draining = false;
};

work_length_estimator &dispatcher::implementation::lengthEstimatorOf(work_class value)
{
    return value == work_class::Online ? m_onlineLength : m_batchLength;
}

request_queue &dispatcher::implementation::queueOf(work_class value)
{
    return value == work_class::Online ? m_onlineQueue : m_batchQueue;
}

work_lane dispatcher::implementation::laneOf(const request_state &request)
{
    if (request.suspect) {
        return work_lane::Suspect;
    }
    if (request.request.workClass == work_class::Batch && !request.request.repeatable) {
        return work_lane::NonPreemptible;
    }
    return request.isLong ? work_lane::Long : work_lane::Short;
}

/// Queues a request: online work ordered by arrival, batch work by deadline. A deadline beyond the aging horizon is replaced
/// by the end of that horizon, so that requests with late deadlines do not starve.
void dispatcher::implementation::enqueue(request_state &request)
{
    const dispatch_request &properties = request.request;
    const bool online = properties.workClass == work_class::Online;
    request.phase = request_phase::Queued;
    const double tokens = properties.expectedTokens > 0 ? properties.expectedTokens : defaultExpectedTokens;
    const time_point latestOrder = request.submittedAt + agingHorizon;
    queueOf(properties.workClass)
        .push({
            .id = properties.id,
            .caller = properties.caller,
            .lane = laneOf(request),
            .cost = request.charged ? 0 : tokens,
            .order = online ? request.submittedAt : std::min(properties.deadline, latestOrder),
            .promoted = request.preemptions >= preemptionsBeforePromotion,
        });
}

dispatch_actions dispatcher::implementation::setUpstreams(std::span<const upstream_info> upstreams, time_point now)
{
    m_upstreams.set(upstreams);
    m_crashGuard.setUpstreamCount(static_cast<std::size_t>(std::count_if(upstreams.begin(), upstreams.end(), [](const upstream_info &info) {
        return !info.leaving;
    })));
    if (!m_upstreams.hasUsable(true, now)) {
        finishQueued(end_reason::NoUpstream, noUpstreamRetryAfter);
    }
    startQueued(now);
    return takeActions();
}

dispatch_actions dispatcher::implementation::submit(const dispatch_request &request, time_point now)
{
    const auto [entry, inserted] = m_requests.try_emplace(request.id);
    if (!inserted) {
        throw std::invalid_argument("expected a request that is not in the dispatcher yet, found request=" + request.id.text() + " again");
    }
    request_state &state = entry->second;
    state.request = request;
    state.submittedAt = now;
    state.suspect = m_crashGuard.isSuspect(request.fingerprint, now);
    work_length_estimator &length = lengthEstimatorOf(request.workClass);
    length.recordExpectedTokens(request.expectedTokens);
    state.isLong = length.isLong(request.expectedTokens);
    const bool online = request.workClass == work_class::Online;
    const std::size_t queueLimit = online ? m_options.onlineQueueLimit : m_options.batchQueueLimit;
    if (m_draining) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::Draining, .retryAfter = drainRetryAfter});
    } else if (request.deadline <= now) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::DeadlineUnreachable});
    } else if (!m_upstreams.hasUsable(request.repeatable, now)) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::NoUpstream, .retryAfter = noUpstreamRetryAfter});
    } else if (const auto stoppedUntil = m_crashGuard.quarantinedUntil(request.fingerprint, now); online && stoppedUntil) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::CrashesUpstreams, .retryAfter = *stoppedUntil - now});
    } else if (queueOf(request.workClass).size() >= queueLimit) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::Overloaded, .retryAfter = overloadRetryAfter});
    } else if (const duration wait = expectedWait(request.workClass, request.caller, now); now + wait > request.deadline) {
        const duration excess = wait - (request.deadline - now);
        const duration retryAfter = std::max(excess, shortestRetryAfter);
        finish(state, {.what = disposition::NotRun, .reason = end_reason::DeadlineUnreachable, .retryAfter = retryAfter});
    } else {
        m_timers.add({.due = request.deadline, .kind = timer_kind::Deadline, .request = request.id});
        enqueue(state);
        startQueued(now);
    }
    return takeActions();
}

/// Estimates how long a request that arrives now waits for a slot, from the queue ahead of it and the median run time.
duration dispatcher::implementation::expectedWait(work_class value, const caller_id &caller, time_point now) const
{
    const bool online = value == work_class::Online;
    const slot_usage usage = m_upstreams.usageOf(value, now);
    const std::size_t ahead = (online ? m_onlineQueue : m_batchQueue).aheadOf(caller);
    if (usage.inFlight + ahead < usage.slots) {
        return duration(0);
    }
    const duration runTime = (online ? m_onlineLength : m_batchLength).medianRunTime();
    return runTime * static_cast<duration::rep>(ahead) / std::max(1U, usage.slots);
}

void dispatcher::implementation::startQueued(time_point now)
{
    startQueuedOfClass(work_class::Online, now);
    m_upstreams.recordOnlineWork(now);
    startQueuedOfClass(work_class::Batch, now);
}

void dispatcher::implementation::startQueuedOfClass(work_class value, time_point now)
{
    request_queue &queue = queueOf(value);
    lane_set blocked;
    while (const std::optional<waiting_request> next = queue.next(blocked)) {
        request_state &request = m_requests.at(next->id);
        const upstream_state *const upstream = m_upstreams.choose(request, now);
        if (upstream == nullptr) {
            blocked.insert(next->lane);
            continue;
        }
        queue.take(next->id);
        countFirstAttempt(request);
        startAttempt(request, *upstream, now, false);
        armFirstByteTimer(request, now);
        if (value == work_class::Online) {
            preemptExcessBatchWork(*upstream);
        }
    }
}

/// Preempts batch attempts until the upstream is within its limit or holds none that can be preempted.
void dispatcher::implementation::preemptExcessBatchWork(const upstream_state &upstream)
{
    while (upstream.inFlight() > upstream.limit.value()) {
        const std::optional<attempt_id> victim = preemptionVictim(upstream.info.id);
        if (!victim) {
            return;
        }
        preempt(*victim);
    }
}

/// The repeatable batch attempt whose request was preempted least often; among those the latest, which loses least work.
std::optional<attempt_id> dispatcher::implementation::preemptionVictim(const upstream_id &upstream) const
{
    std::optional<attempt_id> victim;
    std::uint32_t fewest = 0;
    for (const auto &[id, attempt] : m_attempts) {
        const request_state &request = m_requests.at(attempt.request);
        const bool batch = request.request.workClass == work_class::Batch;
        if (attempt.upstream != upstream || !batch || !request.request.repeatable) {
            continue;
        }
        if (!victim || request.preemptions <= fewest) {
            victim = id;
            fewest = request.preemptions;
        }
    }
    return victim;
}

void dispatcher::implementation::preempt(attempt_id attempt)
{
    request_state &request = m_requests.at(m_attempts.at(attempt).request);
    cancelAttempt(attempt);
    cancelLongRunTimer(request);
    cancelFirstByteTimer(request);
    ++request.preemptions;
    ++m_counters.preempted;
    m_counters.preemptedResumable += request.request.resumable ? 1 : 0;
    if (m_draining) {
        finishWithoutAnswer(request, end_reason::Draining, drainRetryAfter);
        return;
    }
    enqueue(request);
}

void dispatcher::implementation::countFirstAttempt(request_state &request)
{
    if (request.charged) {
        return;
    }
    request.charged = true;
    ++m_counters.firstAttempts;
    m_retryBudget.deposit();
    m_hedgeBudget.deposit();
}

/// Starts the timer after which the attempt that just started counts as slow if it has no first byte.
void dispatcher::implementation::armFirstByteTimer(request_state &request, time_point now)
{
    cancelFirstByteTimer(request);
    request.firstByteDueAt = now + m_upstreams.outliers().slowThreshold(latencyKindOf(request)).value_or(m_options.firstHedgeDelay);
    m_timers.add({.due = *request.firstByteDueAt, .kind = timer_kind::FirstByte, .request = request.request.id});
}

void dispatcher::implementation::cancelFirstByteTimer(request_state &request)
{
    if (request.firstByteDueAt) {
        m_timers.remove({.due = *request.firstByteDueAt, .kind = timer_kind::FirstByte, .request = request.request.id});
        request.firstByteDueAt.reset();
    }
}

void dispatcher::implementation::handleFirstByteOverdue(request_state &request, time_point now)
{
    request.firstByteDueAt.reset();
    if (request.attempts.empty() || m_attempts.at(request.attempts.front()).firstByteAt) {
        return;
    }
    const upstream_id upstream = m_attempts.at(request.attempts.front()).upstream;
    // Without latencies of other answers to compare with, a long wait does not show that this upstream is slow.
    const bool comparable = m_upstreams.outliers().slowThreshold(latencyKindOf(request)).has_value();
    const bool ejected = comparable && m_upstreams.outliers().recordOverdue(upstream, now);
    hedge(request, now);
    if (ejected) {
        hedgeAttemptsOf(upstream, now);
    }
}

/// Starts a second attempt of an online request on another upstream if the request and the hedge budget allow it.
void dispatcher::implementation::hedge(request_state &request, time_point now)
{
    const bool allowed =
        request.request.workClass == work_class::Online && request.request.repeatable && !request.chosen && !request.suspect;
    if (!allowed || request.attempts.size() != 1) {
        return;
    }
    const upstream_id first = m_attempts.at(request.attempts.front()).upstream;
    const bool wasTried = !request.tried.insert(first).second;
    const upstream_state *const upstream = m_upstreams.choose(request, now);
    if (!wasTried) {
        request.tried.erase(first);
    }
    if (upstream == nullptr || upstream->info.id == first || !m_hedgeBudget.withdraw(now)) {
        return;
    }
    ++m_counters.hedges;
    startAttempt(request, *upstream, now, true);
    preemptExcessBatchWork(*upstream);
}

/// Hedges the requests that wait for the first byte of an upstream that was just ejected.
void dispatcher::implementation::hedgeAttemptsOf(const upstream_id &upstream, time_point now)
{
    std::vector<request_id> waiting;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.upstream == upstream && !attempt.firstByteAt) {
            waiting.push_back(attempt.request);
        }
    }
    for (const request_id &id : waiting) {
        hedge(m_requests.at(id), now);
    }
}

void dispatcher::implementation::startAttempt(request_state &request, const upstream_state &upstream, time_point now, bool hedge)
{
    const attempt_id attempt{.value = ++m_lastAttempt};
    m_attempts[attempt] = {.request = request.request.id,
                           .upstream = upstream.info.id,
                           .startedAt = now,
                           .hedge = hedge,
                           .streamed = request.request.streamed};
    request.attempts.push_back(attempt);
    request.phase = request_phase::InFlight;
    m_upstreams.occupy(upstream.info.id, request, now);
    armLongRunTimer(request, now);
    m_actions.emplace_back(start_attempt{
        .request = request.request.id,
        .attempt = attempt,
        .upstream = upstream.info.id,
        .timeout = timeoutOf(request.request, now),
        .hedge = hedge,
    });
}

/// Longest time without a byte for an attempt that starts now.
duration dispatcher::implementation::timeoutOf(const dispatch_request &request, time_point now) const
{
    if (request.streamed) {
        return m_options.attemptTimeout;
    }
    const duration left = request.deadline - now;
    const duration share = request.repeatable ? left / 2 : left;
    return std::clamp(share, m_options.attemptTimeout, std::max(m_options.attemptTimeout, m_options.wholeAnswerTimeout));
}

/// Marks a running request as long and moves its attempts to the counts of long work.
void dispatcher::implementation::markLong(request_state &request)
{
    if (request.isLong) {
        return;
    }
    request.isLong = true;
    for (const attempt_id attempt : request.attempts) {
        m_upstreams.countAsLong(m_attempts.at(attempt).upstream, request);
    }
}

/// Starts the timer after which a running request counts as long, unless it is already set.
void dispatcher::implementation::armLongRunTimer(request_state &request, time_point now)
{
    const std::optional<duration> longRunTime = lengthEstimatorOf(request.request.workClass).longRunTime();
    if (!longRunTime || request.isLong || request.longRunAt) {
        return;
    }
    request.longRunAt = now + *longRunTime;
    m_timers.add({.due = *request.longRunAt, .kind = timer_kind::LongRun, .request = request.request.id});
}

void dispatcher::implementation::cancelLongRunTimer(request_state &request)
{
    if (request.longRunAt) {
        m_timers.remove({.due = *request.longRunAt, .kind = timer_kind::LongRun, .request = request.request.id});
        request.longRunAt.reset();
    }
}

void dispatcher::implementation::choose(request_state &request, attempt_id attempt)
{
    request.chosen = attempt;
    m_actions.emplace_back(choose_attempt{.request = request.request.id, .attempt = attempt});
    const std::vector<attempt_id> attempts = request.attempts;
    for (const attempt_id other : attempts) {
        if (other != attempt) {
            cancelAttempt(other);
        }
    }
}

void dispatcher::implementation::cancelAttempt(attempt_id attempt)
{
    const auto entry = m_attempts.find(attempt);
    request_state &request = m_requests.at(entry->second.request);
    m_upstreams.release(entry->second.upstream, request);
    std::erase(request.attempts, attempt);
    request.mayHaveRun = true;
    m_attempts.erase(entry);
    m_actions.emplace_back(cancel_attempt{.attempt = attempt});
}

void dispatcher::implementation::finish(request_state &request, const final_result &result, std::optional<attempt_id> attempt)
{
    const request_id id = request.request.id;
    const std::vector<attempt_id> attempts = request.attempts;
    for (const attempt_id other : attempts) {
        cancelAttempt(other);
    }
    queueOf(request.request.workClass).remove(id);
    m_timers.remove({.due = request.request.deadline, .kind = timer_kind::Deadline, .request = id});
    if (request.retryAt) {
        m_timers.remove({.due = *request.retryAt, .kind = timer_kind::Retry, .request = id});
    }
    cancelLongRunTimer(request);
    cancelFirstByteTimer(request);
    m_actions.emplace_back(finish_request{.request = id, .result = result, .attempt = attempt});
    m_requests.erase(id);
}

void dispatcher::implementation::finishWithoutAnswer(request_state &request, end_reason reason, std::optional<duration> retryAfter)
{
    const bool mayHaveRun = request.mayHaveRun || !request.attempts.empty();
    disposition what = disposition::NotRun;
    if (mayHaveRun) {
        what = request.request.repeatable ? disposition::Failed : disposition::OutcomeUnknown;
    }
    finish(request, {.what = what, .reason = reason, .retryAfter = retryAfter});
}

void dispatcher::implementation::finishQueued(end_reason reason, std::optional<duration> retryAfter)
{
    std::vector<request_id> waiting;
    for (const auto &[id, request] : m_requests) {
        if (request.phase != request_phase::InFlight) {
            waiting.push_back(id);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (const request_id &id : waiting) {
        finishWithoutAnswer(m_requests.at(id), reason, retryAfter);
    }
}

/// Records that the upstream of the first attempt is slow because a hedge answered before it. If there were other latencies
/// to compare with, this was already recorded when the first byte was overdue.
void dispatcher::implementation::recordHedgeWin(const request_state &request, const attempt_state &hedge, time_point now)
{
    ++m_counters.hedgesChosen;
    const bool comparable = m_upstreams.outliers().slowThreshold(latencyKindOf(request)).has_value();
    for (const attempt_id id : request.attempts) {
        const attempt_state &other = m_attempts.at(id);
        if (!comparable && other.upstream != hedge.upstream && !other.firstByteAt) {
            m_upstreams.outliers().recordOverdue(other.upstream, now);
        }
    }
}

dispatch_actions dispatcher::implementation::firstByte(attempt_id attempt, time_point now)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end() || entry->second.firstByteAt) {
        return {};
    }
    entry->second.firstByteAt = now;
    entry->second.progressedAt = now;
    const attempt_state answered = entry->second;
    request_state &request = m_requests.at(answered.request);
    const bool ejected = m_upstreams.outliers().recordLatency(answered.upstream, latencyKindOf(request), now - answered.startedAt, now);
    if (request.request.workClass == work_class::Online && !request.chosen) {
        if (answered.hedge) {
            recordHedgeWin(request, answered, now);
        }
        choose(request, attempt);
    }
    if (ejected) {
        hedgeAttemptsOf(answered.upstream, now);
    }
    startQueued(now);
    return takeActions();
}

dispatch_actions dispatcher::implementation::progressed(attempt_id attempt, std::uint32_t tokens, time_point now)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end() || !entry->second.firstByteAt || tokens == 0) {
        return {};
    }
    attempt_state &state = entry->second;
    const duration perToken = (now - state.progressedAt) / tokens;
    state.progressedAt = now;
    state.reportsProgress = true;
    const upstream_id upstream = state.upstream;
    m_upstreams.recordProgress(upstream, perToken, now);
    if (m_upstreams.outliers().recordLatency(upstream, latency_kind::Token, perToken, now)) {
        hedgeAttemptsOf(upstream, now);
    }
    startQueued(now);
    return takeActions();
}

dispatch_actions dispatcher::implementation::attemptEnded(attempt_id attempt, const attempt_result &result, time_point now)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end()) {
        return {};
    }
    const attempt_state ended = entry->second;
    request_state &request = m_requests.at(ended.request);
    m_attempts.erase(entry);
    std::erase(request.attempts, attempt);
    m_upstreams.recordAttemptEnd(ended, result, now);
    if (result.outcome == attempt_outcome::Succeeded) {
        lengthEstimatorOf(request.request.workClass).recordRunTime(now - ended.startedAt);
    }
    m_upstreams.release(ended.upstream, request);
    if (request.attempts.empty()) {
        cancelLongRunTimer(request);
        cancelFirstByteTimer(request);
    }
    request.mayHaveRun = request.mayHaveRun || !certainlyNotRun(result.outcome);
    if (isAnswer(result.outcome)) {
        m_crashGuard.recordAnswer(request.request.fingerprint, now);
        if (!request.chosen) {
            choose(request, attempt);
        }
        finish(request, {.what = disposition::Completed}, attempt);
    } else {
        request.tried.insert(ended.upstream);
        m_upstreams.outliers().recordFailure(ended.upstream, result.outcome, now);
        if (result.outcome == attempt_outcome::Lost && recordLoss(request.request, ended.upstream, now)) {
            request.quarantined = true;
            ++m_counters.contentsQuarantined;
        }
        attemptFailed(request, result, now);
    }
    startQueued(now);
    return takeActions();
}

/// Attributes the loss of an upstream to the content that it ran; returns whether the content is quarantined now. Losses are
/// never attributed to batch work, which must complete however many upstreams are lost while they run it.
bool dispatcher::implementation::recordLoss(const dispatch_request &request, const upstream_id &upstream, time_point now)
{
    return request.workClass == work_class::Online
           && m_crashGuard.recordLoss(request.fingerprint, upstream, now) != loss_verdict::CountedInMassLoss
           && m_crashGuard.quarantinedUntil(request.fingerprint, now);
}

/// Whether a request has used all its attempts. Online work counts failures of any kind. Batch work has time and counts only
/// attempts that may have run: a rejection or a failed connection is not caused by the request.
bool dispatcher::implementation::attemptsExhausted(const request_state &request) const
{
    const bool online = request.request.workClass == work_class::Online;
    return (online ? request.failedAttempts : request.failedRuns) >= m_options.maximumAttempts;
}

void dispatcher::implementation::attemptFailed(request_state &request, const attempt_result &result, time_point now)
{
    ++request.failedAttempts;
    request.failedRuns += certainlyNotRun(result.outcome) ? 0 : 1;
    if (request.quarantined && request.request.repeatable) {
        finishWithoutAnswer(request, end_reason::CrashesUpstreams, m_options.quarantineDuration);
    } else if (request.chosen || (!request.request.repeatable && request.mayHaveRun)) {
        finishWithoutAnswer(request, end_reason::AnswerLost, std::nullopt);
    } else if (!request.attempts.empty()) {
        return;
    } else if (!m_upstreams.hasUsable(request.request.repeatable, now)) {
        finishWithoutAnswer(request, end_reason::NoUpstream, noUpstreamRetryAfter);
    } else if (attemptsExhausted(request)) {
        finishWithoutAnswer(request, end_reason::RetriesExhausted, result.retryAfter.value_or(overloadRetryAfter));
    } else {
        scheduleRetry(request, m_backoff.delay(request.failedAttempts), now);
    }
}

void dispatcher::implementation::scheduleRetry(request_state &request, duration delay, time_point now)
{
    request.phase = request_phase::BackingOff;
    request.retryAt = now + delay;
    m_timers.add({.due = *request.retryAt, .kind = timer_kind::Retry, .request = request.request.id});
}

/// Queues a request again if the retry budget allows it. Otherwise an online request ends, so that its caller is notified
/// early, and a batch request waits for another delay.
void dispatcher::implementation::handleRetryDue(request_state &request, time_point now)
{
    request.retryAt.reset();
    if (!m_upstreams.hasUsable(request.request.repeatable, now)) {
        finishWithoutAnswer(request, end_reason::NoUpstream, noUpstreamRetryAfter);
        return;
    }
    if (m_retryBudget.withdraw(now)) {
        ++m_counters.retries;
        request.suspect = m_crashGuard.isSuspect(request.request.fingerprint, now);
        enqueue(request);
        return;
    }
    ++m_counters.retriesDenied;
    if (request.request.workClass == work_class::Online) {
        finishWithoutAnswer(request, end_reason::RetriesExhausted, overloadRetryAfter);
    } else {
        scheduleRetry(request, batchRetryDelay + m_backoff.delay(request.failedAttempts), now);
    }
}

dispatch_actions dispatcher::implementation::cancel(const request_id &request, time_point now)
{
    const auto entry = m_requests.find(request);
    if (entry == m_requests.end()) {
        return {};
    }
    finish(entry->second, {.what = disposition::Cancelled, .reason = end_reason::CancelledByCaller});
    startQueued(now);
    return takeActions();
}

dispatch_actions dispatcher::implementation::drain(time_point)
{
    m_draining = true;
    finishQueued(end_reason::Draining, drainRetryAfter);
    return takeActions();
}

dispatch_actions dispatcher::implementation::tick(time_point now)
{
    m_tickedAt = now;
    while (const auto timer = m_timers.takeDue(now)) {
        timerDue(*timer, now);
    }
    if (!m_upstreams.hasUsable(true, now)) {
        finishQueued(end_reason::NoUpstream, noUpstreamRetryAfter);
    }
    startQueued(now);
    return takeActions();
}

void dispatcher::implementation::timerDue(const request_timer &timer, time_point now)
{
    request_state &request = m_requests.at(timer.request);
    switch (timer.kind) {
    case timer_kind::Deadline:
        finishWithoutAnswer(request, end_reason::DeadlineUnreachable, std::nullopt);
        break;
    case timer_kind::Retry:
        handleRetryDue(request, now);
        break;
    case timer_kind::FirstByte:
        handleFirstByteOverdue(request, now);
        break;
    case timer_kind::LongRun:
        request.longRunAt.reset();
        markLong(request);
        break;
    }
}

std::optional<time_point> dispatcher::implementation::nextWakeUp() const
{
    const std::optional<time_point> timer = m_timers.firstDue();
    const std::optional<time_point> ejectionEnd = m_upstreams.outliers().nextEjectionEnd(m_tickedAt);
    if (!timer || !ejectionEnd) {
        return timer ? timer : ejectionEnd;
    }
    return std::min(*timer, *ejectionEnd);
}

cell_load dispatcher::implementation::load(time_point now) const
{
    cell_load result;
    result.onlineQueued = static_cast<std::uint32_t>(m_onlineQueue.size());
    result.expectedWait = expectedWait(work_class::Online, caller_id(), now);
    result.batchQueued = static_cast<std::uint32_t>(m_batchQueue.size());
    m_upstreams.fillLoad(result, now);
    return result;
}

dispatcher_counters dispatcher::implementation::counters() const
{
    dispatcher_counters result = m_counters;
    result.ejections = m_upstreams.outliers().ejections();
    return result;
}

dispatch_actions dispatcher::implementation::takeActions()
{
    dispatch_actions result;
    result.swap(m_actions);
    return result;
}

dispatcher::dispatcher(const dispatcher_options &options)
    : m_implementation(std::make_unique<implementation>(options))
{
}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher &&) noexcept = default;
dispatcher &dispatcher::operator=(dispatcher &&) noexcept = default;

dispatch_actions dispatcher::setUpstreams(std::span<const upstream_info> upstreams, time_point now)
{
    return m_implementation->setUpstreams(upstreams, now);
}

dispatch_actions dispatcher::submit(const dispatch_request &request, time_point now)
{
    return m_implementation->submit(request, now);
}

dispatch_actions dispatcher::firstByte(attempt_id attempt, time_point now)
{
    return m_implementation->firstByte(attempt, now);
}

dispatch_actions dispatcher::progressed(attempt_id attempt, std::uint32_t tokens, time_point now)
{
    return m_implementation->progressed(attempt, tokens, now);
}

dispatch_actions dispatcher::attemptEnded(attempt_id attempt, const attempt_result &result, time_point now)
{
    return m_implementation->attemptEnded(attempt, result, now);
}

dispatch_actions dispatcher::cancel(const request_id &request, time_point now)
{
    return m_implementation->cancel(request, now);
}

void dispatcher::loadReported(const upstream_id &upstream, std::uint32_t running, std::uint32_t waiting, time_point reportedAt, time_point)
{
    m_implementation->loadReported(upstream, running + waiting, reportedAt);
}

dispatch_actions dispatcher::drain(time_point now)
{
    return m_implementation->drain(now);
}

dispatch_actions dispatcher::tick(time_point now)
{
    return m_implementation->tick(now);
}

std::optional<time_point> dispatcher::nextWakeUp() const
{
    return m_implementation->nextWakeUp();
}

cell_load dispatcher::load(time_point now) const
{
    return m_implementation->load(now);
}

std::vector<quarantined_fingerprint> dispatcher::quarantinedFingerprints(time_point now) const
{
    return m_implementation->crashGuard().quarantined(now);
}

void dispatcher::quarantineFingerprint(std::uint64_t fingerprint, time_point until, time_point now)
{
    m_implementation->crashGuard().quarantine(fingerprint, until, now);
}

std::vector<upstream_status> dispatcher::upstreams(time_point now) const
{
    return m_implementation->upstreams(now);
}

dispatcher_counters dispatcher::counters() const
{
    return m_implementation->counters();
}

} // namespace banyan
