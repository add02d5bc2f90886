#include "banyan/core/dispatcher.h"

#include "banyan/core/crash_guard.h"
#include "dispatcher_state.h"
#include "request_queue.h"
#include "retry_backoff.h"
#include "timer_queue.h"
#include "token_budget.h"
#include "upstream_pool.h"
#include "work_length.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <unordered_map>

namespace banyan {

namespace {

constexpr duration overloadRetryAfter = std::chrono::seconds(1);
constexpr duration noUpstreamRetryAfter = std::chrono::seconds(2);
constexpr std::uint32_t preemptionsBeforeFirst = 3; ///< A batch item preempted as often goes before the others.
constexpr double assumedTokens = 100; ///< Cost of a request that does not say what it expects.
constexpr duration agingHorizon =
    std::chrono::minutes(10); ///< A batch request goes before later ones after this time, whatever their deadlines.
constexpr double deadlineAllowance = 4000; ///< Tokens by which near deadlines may set a caller ahead of its share.
constexpr double retriesPerSecond = 1; ///< Retries that are allowed without any traffic.
constexpr duration batchRetryDelay = std::chrono::seconds(1); ///< For batch work while the retry budget is used up.
constexpr duration shortestRetryAfter = std::chrono::milliseconds(100);
constexpr duration drainRetryAfter = std::chrono::milliseconds(0);

/// Whether an attempt that ended so has certainly not run.
bool certainlyNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::NotSent || outcome == attempt_outcome::Refused;
}

latency_kind kindOf(const request_state &request)
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
        , m_crashes({.quarantineThreshold = options.crashLimit, .quarantineDuration = options.crashMemory})
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
    crash_guard &crashes()
    {
        return m_crashes;
    }

private:
    [[nodiscard]] static work_lane laneOf(const request_state &request);
    void enqueue(request_state &request);
    request_queue &queueOf(work_class value);
    work_length &lengthOf(work_class value);
    [[nodiscard]] duration expectedWait(work_class value, const caller_id &caller, time_point now) const;
    void startWaiting(time_point now);
    void startClass(work_class value, time_point now);
    void makeRoom(const upstream_state &upstream);
    [[nodiscard]] std::optional<attempt_id> preemptionVictim(const upstream_id &upstream) const;
    void preempt(attempt_id attempt);
    void countStart(request_state &request);
    void startAttempt(request_state &request, const upstream_state &upstream, time_point now, bool hedge);
    [[nodiscard]] duration timeoutOf(const dispatch_request &request, time_point now) const;
    void watchFirstByte(request_state &request, time_point now);
    void stopWatchingFirstByte(request_state &request);
    void firstByteOverdue(request_state &request, time_point now);
    void hedge(request_state &request, time_point now);
    void hedgeAttemptsOf(const upstream_id &upstream, time_point now);
    void hedgeWon(const request_state &request, const attempt_state &hedge, time_point now);
    void retryDue(request_state &request, time_point now);
    void becomeLong(request_state &request);
    void watchLength(request_state &request, time_point now);
    void stopWatchingLength(request_state &request);
    void choose(request_state &request, attempt_id attempt);
    void finish(request_state &request, const final_result &result, std::optional<attempt_id> attempt = std::nullopt);
    void finishWithoutAnswer(request_state &request, end_reason reason, std::optional<duration> retryAfter);
    void finishQueued(end_reason reason, std::optional<duration> retryAfter);
    void cancelAttempt(attempt_id attempt);
    [[nodiscard]] bool isStoppedByLoss(const dispatch_request &request, const upstream_id &upstream, time_point now);
    [[nodiscard]] bool attemptsUsedUp(const request_state &request) const;
    void attemptFailed(request_state &request, const attempt_result &result, time_point now);
    void retryLater(request_state &request, duration delay, time_point now);
    void timerDue(const request_timer &timer, time_point now);
    dispatch_actions takeActions();

    dispatcher_options m_options;
    upstream_pool m_upstreams;
    std::unordered_map<request_id, request_state> m_requests;
    std::map<attempt_id, attempt_state> m_attempts;
    request_queue m_onlineQueue{0};
    request_queue m_batchQueue{deadlineAllowance};
    work_length m_onlineLength;
    work_length m_batchLength;
    timer_queue m_timers;
    token_budget m_retryBudget;
    token_budget m_hedgeBudget;
    retry_backoff m_backoff;
    crash_guard m_crashes;
    dispatch_actions m_actions;
    dispatcher_counters m_counters;
    std::uint64_t m_lastAttempt = 0;
    time_point m_tickedAt;
    bool m_draining = false;
};

work_length &dispatcher::implementation::lengthOf(work_class value)
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
        return work_lane::Pinned;
    }
    return request.isLong ? work_lane::Long : work_lane::Short;
}

/// Puts a request in its queue: online work in the order of arrival, batch work in that of deadlines. A far deadline
/// counts as the time after which the request would otherwise starve.
void dispatcher::implementation::enqueue(request_state &request)
{
    const dispatch_request &asked = request.request;
    const bool online = asked.workClass == work_class::Online;
    request.phase = request_phase::Queued;
    const double tokens = asked.expectedTokens > 0 ? asked.expectedTokens : assumedTokens;
    const time_point latestOrder = request.submittedAt + agingHorizon;
    queueOf(asked.workClass)
        .push({
            .id = asked.id,
            .caller = asked.caller,
            .lane = laneOf(request),
            .cost = request.charged ? 0 : tokens,
            .order = online ? request.submittedAt : std::min(asked.deadline, latestOrder),
            .promoted = request.preemptions >= preemptionsBeforeFirst,
        });
}

dispatch_actions dispatcher::implementation::setUpstreams(std::span<const upstream_info> upstreams, time_point now)
{
    m_upstreams.set(upstreams);
    m_crashes.setUpstreamCount(static_cast<std::size_t>(std::count_if(upstreams.begin(), upstreams.end(), [](const upstream_info &info) {
        return !info.leaving;
    })));
    if (!m_upstreams.hasUsable(now)) {
        finishQueued(end_reason::NoUpstream, noUpstreamRetryAfter);
    }
    startWaiting(now);
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
    state.suspect = m_crashes.isSuspect(request.fingerprint, now);
    work_length &length = lengthOf(request.workClass);
    length.expected(request.expectedTokens);
    state.isLong = length.isLong(request.expectedTokens);
    const bool online = request.workClass == work_class::Online;
    const std::size_t queueLimit = online ? m_options.onlineQueueLimit : m_options.batchQueueLimit;
    if (m_draining) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::Draining, .retryAfter = drainRetryAfter});
    } else if (request.deadline <= now) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::DeadlineUnreachable});
    } else if (!m_upstreams.hasUsable(now)) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::NoUpstream, .retryAfter = noUpstreamRetryAfter});
    } else if (const auto stoppedUntil = m_crashes.quarantinedUntil(request.fingerprint, now); online && stoppedUntil) {
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
        startWaiting(now);
    }
    return takeActions();
}

/// How long a request that arrives now waits for a slot, from the work before it and the usual run time.
duration dispatcher::implementation::expectedWait(work_class value, const caller_id &caller, time_point now) const
{
    const bool online = value == work_class::Online;
    const slot_usage usage = m_upstreams.usageOf(value, now);
    const std::size_t ahead = (online ? m_onlineQueue : m_batchQueue).aheadOf(caller);
    if (usage.inFlight + ahead < usage.slots) {
        return duration(0);
    }
    const duration runTime = (online ? m_onlineLength : m_batchLength).typicalRunTime();
    return runTime * static_cast<duration::rep>(ahead) / std::max(1U, usage.slots);
}

void dispatcher::implementation::startWaiting(time_point now)
{
    startClass(work_class::Online, now);
    m_upstreams.noteOnlineWork(now);
    startClass(work_class::Batch, now);
}

void dispatcher::implementation::startClass(work_class value, time_point now)
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
        countStart(request);
        startAttempt(request, *upstream, now, false);
        watchFirstByte(request, now);
        if (value == work_class::Online) {
            makeRoom(*upstream);
        }
    }
}

/// Preempts batch attempts until the upstream holds no more than its limit, or only what cannot be preempted.
void dispatcher::implementation::makeRoom(const upstream_state &upstream)
{
    while (upstream.inFlight() > upstream.limit.value()) {
        const std::optional<attempt_id> victim = preemptionVictim(upstream.info.id);
        if (!victim) {
            return;
        }
        preempt(*victim);
    }
}

/// The repeatable batch attempt that was preempted least often and, among those, has lost least: the youngest.
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
    stopWatchingLength(request);
    stopWatchingFirstByte(request);
    ++request.preemptions;
    ++m_counters.preempted;
    m_counters.preemptedResumable += request.request.resumable ? 1 : 0;
    if (m_draining) {
        finishWithoutAnswer(request, end_reason::Draining, drainRetryAfter);
        return;
    }
    enqueue(request);
}

void dispatcher::implementation::countStart(request_state &request)
{
    if (request.charged) {
        return;
    }
    request.charged = true;
    ++m_counters.firstAttempts;
    m_retryBudget.deposit();
    m_hedgeBudget.deposit();
}

/// Sets the time at which the attempt that just started counts as slow without a first byte.
void dispatcher::implementation::watchFirstByte(request_state &request, time_point now)
{
    stopWatchingFirstByte(request);
    request.slowAt = now + m_upstreams.outliers().slowAfter(kindOf(request)).value_or(m_options.firstHedgeDelay);
    m_timers.add({.due = *request.slowAt, .kind = timer_kind::FirstByte, .request = request.request.id});
}

void dispatcher::implementation::stopWatchingFirstByte(request_state &request)
{
    if (request.slowAt) {
        m_timers.remove({.due = *request.slowAt, .kind = timer_kind::FirstByte, .request = request.request.id});
        request.slowAt.reset();
    }
}

void dispatcher::implementation::firstByteOverdue(request_state &request, time_point now)
{
    request.slowAt.reset();
    if (request.attempts.empty() || m_attempts.at(request.attempts.front()).firstByteAt) {
        return;
    }
    const upstream_id upstream = m_attempts.at(request.attempts.front()).upstream;
    // Without other answers to compare with, waiting long proves nothing against the upstream.
    const bool comparable = m_upstreams.outliers().slowAfter(kindOf(request)).has_value();
    const bool ejected = comparable && m_upstreams.outliers().overdue(upstream, now);
    hedge(request, now);
    if (ejected) {
        hedgeAttemptsOf(upstream, now);
    }
}

/// Starts a second attempt of an online request on another upstream, if it may have one and the budget allows it.
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
    makeRoom(*upstream);
}

/// Hedges the requests that wait for an upstream that was just ejected.
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
    m_upstreams.occupy(upstream.info.id, request);
    watchLength(request, now);
    m_actions.emplace_back(start_attempt{
        .request = request.request.id,
        .attempt = attempt,
        .upstream = upstream.info.id,
        .timeout = timeoutOf(request.request, now),
        .hedge = hedge,
    });
}

/// How long an attempt that begins now may be silent.
duration dispatcher::implementation::timeoutOf(const dispatch_request &request, time_point now) const
{
    if (request.streamed) {
        return m_options.attemptTimeout;
    }
    const duration left = request.deadline - now;
    const duration share = request.repeatable ? left / 2 : left;
    return std::clamp(share, m_options.attemptTimeout, std::max(m_options.attemptTimeout, m_options.wholeAnswerTimeout));
}

/// Counts a request's attempts as long from now on.
void dispatcher::implementation::becomeLong(request_state &request)
{
    if (request.isLong) {
        return;
    }
    request.isLong = true;
    for (const attempt_id attempt : request.attempts) {
        m_upstreams.becameLong(m_attempts.at(attempt).upstream, request);
    }
}

/// Sets the time at which a running request counts as long, once.
void dispatcher::implementation::watchLength(request_state &request, time_point now)
{
    const std::optional<duration> longRunTime = lengthOf(request.request.workClass).longRunTime();
    if (!longRunTime || request.isLong || request.longRunAt) {
        return;
    }
    request.longRunAt = now + *longRunTime;
    m_timers.add({.due = *request.longRunAt, .kind = timer_kind::LongRun, .request = request.request.id});
}

void dispatcher::implementation::stopWatchingLength(request_state &request)
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
    stopWatchingLength(request);
    stopWatchingFirstByte(request);
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

/// A hedge has answered before the first attempt, whose upstream has therefore been slow. With other answers to compare
/// with this was counted when the first byte was overdue.
void dispatcher::implementation::hedgeWon(const request_state &request, const attempt_state &hedge, time_point now)
{
    ++m_counters.hedgesChosen;
    const bool comparable = m_upstreams.outliers().slowAfter(kindOf(request)).has_value();
    for (const attempt_id id : request.attempts) {
        const attempt_state &other = m_attempts.at(id);
        if (!comparable && other.upstream != hedge.upstream && !other.firstByteAt) {
            m_upstreams.outliers().overdue(other.upstream, now);
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
    const bool ejected = m_upstreams.outliers().observed(answered.upstream, kindOf(request), now - answered.startedAt, now);
    if (request.request.workClass == work_class::Online && !request.chosen) {
        if (answered.hedge) {
            hedgeWon(request, answered, now);
        }
        choose(request, attempt);
    }
    if (ejected) {
        hedgeAttemptsOf(answered.upstream, now);
    }
    startWaiting(now);
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
    m_upstreams.observeProgress(upstream, perToken, now);
    if (m_upstreams.outliers().observed(upstream, latency_kind::Token, perToken, now)) {
        hedgeAttemptsOf(upstream, now);
    }
    startWaiting(now);
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
    m_upstreams.observePace(ended, result, now);
    if (result.outcome == attempt_outcome::Succeeded) {
        lengthOf(request.request.workClass).ran(now - ended.startedAt);
    }
    m_upstreams.release(ended.upstream, request);
    if (request.attempts.empty()) {
        stopWatchingLength(request);
        stopWatchingFirstByte(request);
    }
    request.mayHaveRun = request.mayHaveRun || !certainlyNotRun(result.outcome);
    if (isAnswer(result.outcome)) {
        m_crashes.recordAnswer(request.request.fingerprint, now);
        if (!request.chosen) {
            choose(request, attempt);
        }
        finish(request, {.what = disposition::Completed}, attempt);
    } else {
        request.tried.insert(ended.upstream);
        m_upstreams.outliers().failed(ended.upstream, result.outcome, now);
        if (result.outcome == attempt_outcome::Lost && isStoppedByLoss(request.request, ended.upstream, now)) {
            request.stopped = true;
            ++m_counters.crashesStopped;
        }
        attemptFailed(request, result, now);
    }
    startWaiting(now);
    return takeActions();
}

/// Whether the content is stopped now that an upstream was lost under it. Batch work is never blamed: it is owed however many
/// upstreams were lost while they ran it.
bool dispatcher::implementation::isStoppedByLoss(const dispatch_request &request, const upstream_id &upstream, time_point now)
{
    return request.workClass == work_class::Online
           && m_crashes.recordLoss(request.fingerprint, upstream, now) != loss_verdict::CountedInMassLoss
           && m_crashes.quarantinedUntil(request.fingerprint, now);
}

/// Online work ends after a number of failures of any kind. Batch work has time and counts only failures that may be its
/// own: a refusal or a failed connection says nothing about the item.
bool dispatcher::implementation::attemptsUsedUp(const request_state &request) const
{
    const bool online = request.request.workClass == work_class::Online;
    return (online ? request.failedAttempts : request.failedRuns) >= m_options.maximumAttempts;
}

void dispatcher::implementation::attemptFailed(request_state &request, const attempt_result &result, time_point now)
{
    ++request.failedAttempts;
    request.failedRuns += certainlyNotRun(result.outcome) ? 0 : 1;
    if (request.stopped && request.request.repeatable) {
        finishWithoutAnswer(request, end_reason::CrashesUpstreams, m_options.crashMemory);
    } else if (request.chosen || (!request.request.repeatable && request.mayHaveRun)) {
        finishWithoutAnswer(request, end_reason::AnswerLost, std::nullopt);
    } else if (!request.attempts.empty()) {
        return;
    } else if (!m_upstreams.hasUsable(now)) {
        finishWithoutAnswer(request, end_reason::NoUpstream, noUpstreamRetryAfter);
    } else if (attemptsUsedUp(request)) {
        finishWithoutAnswer(request, end_reason::RetriesExhausted, result.retryAfter.value_or(overloadRetryAfter));
    } else {
        retryLater(request, m_backoff.delay(request.failedAttempts), now);
    }
}

void dispatcher::implementation::retryLater(request_state &request, duration delay, time_point now)
{
    request.phase = request_phase::BackingOff;
    request.retryAt = now + delay;
    m_timers.add({.due = *request.retryAt, .kind = timer_kind::Retry, .request = request.request.id});
}

/// Queues a request again if the retry budget allows it. Else an online request ends, since its caller had better know,
/// and a batch request waits on.
void dispatcher::implementation::retryDue(request_state &request, time_point now)
{
    request.retryAt.reset();
    if (!m_upstreams.hasUsable(now)) {
        finishWithoutAnswer(request, end_reason::NoUpstream, noUpstreamRetryAfter);
        return;
    }
    if (m_retryBudget.withdraw(now)) {
        ++m_counters.retries;
        request.suspect = m_crashes.isSuspect(request.request.fingerprint, now);
        enqueue(request);
        return;
    }
    ++m_counters.retriesDenied;
    if (request.request.workClass == work_class::Online) {
        finishWithoutAnswer(request, end_reason::RetriesExhausted, overloadRetryAfter);
    } else {
        retryLater(request, batchRetryDelay + m_backoff.delay(request.failedAttempts), now);
    }
}

dispatch_actions dispatcher::implementation::cancel(const request_id &request, time_point now)
{
    const auto entry = m_requests.find(request);
    if (entry == m_requests.end()) {
        return {};
    }
    finish(entry->second, {.what = disposition::Cancelled, .reason = end_reason::CancelledByCaller});
    startWaiting(now);
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
    if (!m_upstreams.hasUsable(now)) {
        finishQueued(end_reason::NoUpstream, noUpstreamRetryAfter);
    }
    startWaiting(now);
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
        retryDue(request, now);
        break;
    case timer_kind::FirstByte:
        firstByteOverdue(request, now);
        break;
    case timer_kind::LongRun:
        request.longRunAt.reset();
        becomeLong(request);
        break;
    }
}

std::optional<time_point> dispatcher::implementation::nextWakeUp() const
{
    const std::optional<time_point> timer = m_timers.firstDue();
    const std::optional<time_point> upstreamReturn = m_upstreams.outliers().nextReturn(m_tickedAt);
    if (!timer || !upstreamReturn) {
        return timer ? timer : upstreamReturn;
    }
    return std::min(*timer, *upstreamReturn);
}

cell_load dispatcher::implementation::load(time_point now) const
{
    cell_load result;
    result.onlineQueued = static_cast<std::uint32_t>(m_onlineQueue.size());
    result.expectedWait = expectedWait(work_class::Online, caller_id(), now);
    result.batchQueued = static_cast<std::uint32_t>(m_batchQueue.size());
    m_upstreams.describe(result, now);
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

std::vector<quarantined_fingerprint> dispatcher::stoppedFingerprints(time_point now) const
{
    return m_implementation->crashes().quarantined(now);
}

void dispatcher::stopFingerprint(std::uint64_t fingerprint, time_point until, time_point now)
{
    m_implementation->crashes().quarantine(fingerprint, until, now);
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
