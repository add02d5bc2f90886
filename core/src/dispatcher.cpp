#include "banyan/core/dispatcher.h"

#include "dispatcher_state.h"
#include "request_queue.h"
#include "timer_queue.h"
#include "work_length.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <stdexcept>
#include <unordered_map>

namespace banyan {

namespace {

constexpr duration firstRetryDelay = std::chrono::milliseconds(20);
constexpr duration overloadRetryAfter = std::chrono::seconds(1);
constexpr duration noUpstreamRetryAfter = std::chrono::seconds(2);
constexpr double onlineOvercommit = 1.5; ///< Online work may hold this many times the limit; queueing in the engine costs less.
constexpr double busyWithBatchScore = 0.25; ///< What a full share of batch work counts when placing online work.
constexpr double preemptionScore = 0.5; ///< What having to preempt counts when placing online work.
constexpr std::uint32_t preemptionsBeforeFirst = 3; ///< A batch item preempted as often goes before the others.
constexpr std::uint32_t pinnedDivisor = 2; ///< Batch work that cannot be preempted holds at most the limit over this.
constexpr double assumedTokens = 100; ///< Cost of a request that does not say what it expects.
constexpr duration agingHorizon =
    std::chrono::minutes(10); ///< A batch request goes before later ones after this time, whatever their deadlines.
constexpr double deadlineAllowance = 4000; ///< Tokens by which near deadlines may set a caller ahead of its share.
constexpr double longShare = 0.6; ///< Of the slots, for long work at most.
constexpr duration drainRetryAfter = std::chrono::milliseconds(0);

constexpr std::uint32_t minimumPaceTokens = 8; ///< Shorter answers say little about the time per token.

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Whether an attempt that ended so has certainly not run.
bool certainlyNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::NotSent || outcome == attempt_outcome::Refused;
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
    {
    }

    dispatch_actions setUpstreams(std::span<const upstream_info> upstreams, time_point now);
    dispatch_actions submit(const dispatch_request &request, time_point now);
    dispatch_actions firstByte(attempt_id attempt, time_point now);
    dispatch_actions attemptEnded(attempt_id attempt, const attempt_result &result, time_point now);
    dispatch_actions cancel(const request_id &request, time_point now);
    dispatch_actions drain(time_point now);
    dispatch_actions tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;
    [[nodiscard]] cell_load load(time_point now) const;
    [[nodiscard]] std::vector<upstream_status> upstreams(time_point now) const;
    [[nodiscard]] const dispatcher_counters &counters() const
    {
        return m_counters;
    }

private:
    [[nodiscard]] upstream_state makeUpstream(const upstream_info &info) const;
    [[nodiscard]] static work_lane laneOf(const request_state &request);
    void enqueue(request_state &request);
    request_queue &queueOf(work_class value);
    work_length &lengthOf(work_class value);
    [[nodiscard]] bool hasUsableUpstream() const;
    [[nodiscard]] std::uint32_t onlineLimitOf(const upstream_state &upstream) const;
    [[nodiscard]] static std::uint32_t longLimit(std::uint32_t slots);
    [[nodiscard]] std::uint32_t batchLimitOf(const upstream_state &upstream) const;
    [[nodiscard]] bool accepts(const upstream_state &upstream, const request_state &request) const;
    [[nodiscard]] double busyness(const upstream_state &upstream, const request_state &request) const;
    upstream_state *upstreamFor(const request_state &request);
    void startWaiting(time_point now);
    void startClass(work_class value, time_point now);
    void makeRoom(const upstream_state &upstream);
    [[nodiscard]] std::optional<attempt_id> preemptionVictim(const upstream_id &upstream) const;
    void preempt(attempt_id attempt);
    void startAttempt(request_state &request, upstream_state &upstream, time_point now);
    static void changeInFlight(upstream_state &upstream, const request_state &request, int change);
    void releaseSlot(const attempt_state &attempt, const request_state &request);
    void becomeLong(request_state &request);
    void watchLength(request_state &request, time_point now);
    void stopWatchingLength(request_state &request);
    void choose(request_state &request, attempt_id attempt);
    void finish(request_state &request, const final_result &result, std::optional<attempt_id> attempt = std::nullopt);
    void finishWithoutAnswer(request_state &request, end_reason reason, std::optional<duration> retryAfter);
    void finishQueued(end_reason reason, std::optional<duration> retryAfter);
    void cancelAttempt(attempt_id attempt);
    void observePace(const attempt_state &attempt, const attempt_result &result, time_point now);
    void attemptFailed(request_state &request, const attempt_result &result, time_point now);
    void retryLater(request_state &request, time_point now);
    void timerDue(const request_timer &timer, time_point now);
    dispatch_actions takeActions();

    dispatcher_options m_options;
    std::map<upstream_id, upstream_state> m_upstreams;
    std::unordered_map<request_id, request_state> m_requests;
    std::map<attempt_id, attempt_state> m_attempts;
    request_queue m_onlineQueue{0};
    request_queue m_batchQueue{deadlineAllowance};
    work_length m_onlineLength;
    work_length m_batchLength;
    timer_queue m_timers;
    dispatch_actions m_actions;
    dispatcher_counters m_counters;
    std::uint64_t m_lastAttempt = 0;
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

bool dispatcher::implementation::hasUsableUpstream() const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [](const auto &entry) {
        return !entry.second.info.leaving;
    });
}

dispatch_actions dispatcher::implementation::setUpstreams(std::span<const upstream_info> upstreams, time_point now)
{
    for (auto &[id, upstream] : m_upstreams) {
        upstream.info.leaving = true;
    }
    for (const upstream_info &info : upstreams) {
        const auto known = m_upstreams.find(info.id);
        if (known == m_upstreams.end()) {
            m_upstreams.emplace(info.id, makeUpstream(info));
        } else {
            known->second.info = info;
        }
    }
    std::erase_if(m_upstreams, [&](const auto &entry) {
        const upstream_state &upstream = entry.second;
        return upstream.info.leaving && upstream.inFlight() == 0;
    });
    if (!hasUsableUpstream()) {
        finishQueued(end_reason::NoUpstream, noUpstreamRetryAfter);
    }
    startWaiting(now);
    return takeActions();
}

upstream_state dispatcher::implementation::makeUpstream(const upstream_info &info) const
{
    const concurrency_limit_options limit{.initial = m_options.initialSlots, .maximum = m_options.maximumSlots};
    return {.info = info, .limit = concurrency_limit(limit)};
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
    work_length &length = lengthOf(request.workClass);
    length.expected(request.expectedTokens);
    state.isLong = length.isLong(request.expectedTokens);
    const bool online = request.workClass == work_class::Online;
    const std::size_t queueLimit = online ? m_options.onlineQueueLimit : m_options.batchQueueLimit;
    if (m_draining) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::Draining, .retryAfter = drainRetryAfter});
    } else if (request.deadline <= now) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::DeadlineUnreachable});
    } else if (!hasUsableUpstream()) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::NoUpstream, .retryAfter = noUpstreamRetryAfter});
    } else if (queueOf(request.workClass).size() >= queueLimit) {
        finish(state, {.what = disposition::NotRun, .reason = end_reason::Overloaded, .retryAfter = overloadRetryAfter});
    } else {
        m_timers.add({.due = request.deadline, .kind = timer_kind::Deadline, .request = request.id});
        enqueue(state);
        startWaiting(now);
    }
    return takeActions();
}

std::uint32_t dispatcher::implementation::onlineLimitOf(const upstream_state &upstream) const
{
    const auto overcommitted = static_cast<std::uint32_t>(upstream.limit.value() * onlineOvercommit);
    return std::min(m_options.maximumSlots, overcommitted);
}

bool dispatcher::implementation::accepts(const upstream_state &upstream, const request_state &request) const
{
    if (upstream.info.leaving) {
        return false;
    }
    if (request.request.workClass == work_class::Online) {
        const std::uint32_t limit = onlineLimitOf(upstream);
        const bool leavesRoom = !request.isLong || upstream.onlineLongInFlight < longLimit(limit);
        return leavesRoom && upstream.onlineInFlight < limit;
    }
    const std::uint32_t limit = batchLimitOf(upstream);
    const bool leavesRoom = !request.isLong || upstream.batchLongInFlight < longLimit(limit);
    const bool pinnable = request.request.repeatable || upstream.pinnedInFlight < std::max(1U, limit / pinnedDivisor);
    return leavesRoom && pinnable && upstream.inFlight() < limit;
}

/// Long work holds at most this many of @p slots, so that short work always finds some.
std::uint32_t dispatcher::implementation::longLimit(std::uint32_t slots)
{
    return std::max(1U, static_cast<std::uint32_t>(slots * longShare));
}

/// Batch work starts only below this; between it and the limit it keeps its slots while online work comes in.
std::uint32_t dispatcher::implementation::batchLimitOf(const upstream_state &upstream) const
{
    const std::uint32_t limit = upstream.limit.value();
    const auto headroom = static_cast<std::uint32_t>(std::ceil(limit * m_options.onlineHeadroom));
    return std::max(1U, limit - std::min(limit, headroom));
}

double dispatcher::implementation::busyness(const upstream_state &upstream, const request_state &request) const
{
    const double limit = std::max(1U, upstream.limit.value());
    if (request.request.workClass == work_class::Batch) {
        return upstream.inFlight() / limit;
    }
    const double preemption = upstream.inFlight() >= upstream.limit.value() ? preemptionScore : 0;
    return upstream.onlineInFlight / limit + busyWithBatchScore * upstream.batchInFlight / limit + preemption;
}

upstream_state *dispatcher::implementation::upstreamFor(const request_state &request)
{
    upstream_state *best = nullptr;
    bool bestTried = false;
    double bestBusyness = 0;
    for (auto &[id, upstream] : m_upstreams) {
        if (!accepts(upstream, request)) {
            continue;
        }
        const bool tried = request.tried.contains(id);
        const double candidate = busyness(upstream, request);
        if (best == nullptr || (bestTried && !tried) || (bestTried == tried && candidate < bestBusyness)) {
            best = &upstream;
            bestTried = tried;
            bestBusyness = candidate;
        }
    }
    return best;
}

void dispatcher::implementation::startWaiting(time_point now)
{
    startClass(work_class::Online, now);
    if (m_onlineQueue.size() == 0) {
        startClass(work_class::Batch, now);
    }
}

void dispatcher::implementation::startClass(work_class value, time_point now)
{
    request_queue &queue = queueOf(value);
    lane_set blocked;
    while (const std::optional<waiting_request> next = queue.next(blocked)) {
        request_state &request = m_requests.at(next->id);
        upstream_state *const upstream = upstreamFor(request);
        if (upstream == nullptr) {
            blocked.insert(next->lane);
            continue;
        }
        queue.take(next->id);
        request.charged = true;
        startAttempt(request, *upstream, now);
        makeRoom(*upstream);
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
    ++request.preemptions;
    ++m_counters.preempted;
    m_counters.preemptedResumable += request.request.resumable ? 1 : 0;
    if (m_draining) {
        finishWithoutAnswer(request, end_reason::Draining, drainRetryAfter);
        return;
    }
    enqueue(request);
}

void dispatcher::implementation::startAttempt(request_state &request, upstream_state &upstream, time_point now)
{
    const attempt_id attempt{.value = ++m_lastAttempt};
    m_attempts[attempt] = {.request = request.request.id, .upstream = upstream.info.id, .startedAt = now};
    request.attempts.push_back(attempt);
    request.phase = request_phase::InFlight;
    changeInFlight(upstream, request, +1);
    watchLength(request, now);
    m_actions.emplace_back(start_attempt{
        .request = request.request.id,
        .attempt = attempt,
        .upstream = upstream.info.id,
        .timeout = m_options.attemptTimeout,
    });
}

void dispatcher::implementation::changeInFlight(upstream_state &upstream, const request_state &request, int change)
{
    const int changeOfLong = request.isLong ? change : 0;
    if (request.request.workClass == work_class::Online) {
        upstream.onlineInFlight += change;
        upstream.onlineLongInFlight += changeOfLong;
        return;
    }
    upstream.batchInFlight += change;
    upstream.batchLongInFlight += changeOfLong;
    upstream.pinnedInFlight += request.request.repeatable ? 0 : change;
}

/// Counts a request's attempts as long from now on.
void dispatcher::implementation::becomeLong(request_state &request)
{
    if (request.isLong) {
        return;
    }
    for (const attempt_id attempt : request.attempts) {
        changeInFlight(m_upstreams.at(m_attempts.at(attempt).upstream), request, -1);
    }
    request.isLong = true;
    for (const attempt_id attempt : request.attempts) {
        changeInFlight(m_upstreams.at(m_attempts.at(attempt).upstream), request, +1);
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

void dispatcher::implementation::releaseSlot(const attempt_state &attempt, const request_state &request)
{
    const auto entry = m_upstreams.find(attempt.upstream);
    upstream_state &upstream = entry->second;
    changeInFlight(upstream, request, -1);
    if (upstream.info.leaving && upstream.inFlight() == 0) {
        m_upstreams.erase(entry);
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
    releaseSlot(entry->second, request);
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

dispatch_actions dispatcher::implementation::firstByte(attempt_id attempt, time_point now)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end() || entry->second.firstByteAt) {
        return {};
    }
    entry->second.firstByteAt = now;
    request_state &request = m_requests.at(entry->second.request);
    if (request.request.workClass == work_class::Online && !request.chosen) {
        choose(request, attempt);
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
    observePace(ended, result, now);
    releaseSlot(ended, request);
    if (request.attempts.empty()) {
        stopWatchingLength(request);
    }
    request.mayHaveRun = request.mayHaveRun || !certainlyNotRun(result.outcome);
    if (isAnswer(result.outcome)) {
        if (!request.chosen) {
            choose(request, attempt);
        }
        finish(request, {.what = disposition::Completed}, attempt);
    } else {
        request.tried.insert(ended.upstream);
        attemptFailed(request, result, now);
    }
    startWaiting(now);
    return takeActions();
}

/// Lets the upstream's limit learn from an attempt that has ended but still counts as in flight.
void dispatcher::implementation::observePace(const attempt_state &attempt, const attempt_result &result, time_point now)
{
    upstream_state &upstream = m_upstreams.at(attempt.upstream);
    if (result.outcome == attempt_outcome::Refused) {
        upstream.limit.refused(upstream.inFlight());
    }
    if (result.outcome != attempt_outcome::Succeeded) {
        return;
    }
    lengthOf(m_requests.at(attempt.request).request.workClass).ran(now - attempt.startedAt);
    upstream.streamsTokens = upstream.streamsTokens || result.tokens > 0;
    if (result.tokens >= minimumPaceTokens && attempt.firstByteAt) {
        const double perToken = toSeconds(now - *attempt.firstByteAt) / result.tokens;
        upstream.limit.paceObserved(perToken, upstream.inFlight(), now);
    } else if (!upstream.streamsTokens) {
        upstream.limit.paceObserved(toSeconds(now - attempt.startedAt), upstream.inFlight(), now);
    }
}

void dispatcher::implementation::attemptFailed(request_state &request, const attempt_result &result, time_point now)
{
    ++request.failedAttempts;
    if (request.chosen || (!request.request.repeatable && request.mayHaveRun)) {
        finishWithoutAnswer(request, end_reason::AnswerLost, std::nullopt);
    } else if (!request.attempts.empty()) {
        return;
    } else if (!hasUsableUpstream()) {
        finishWithoutAnswer(request, end_reason::NoUpstream, noUpstreamRetryAfter);
    } else if (request.failedAttempts >= m_options.maximumAttempts) {
        finishWithoutAnswer(request, end_reason::RetriesExhausted, result.retryAfter.value_or(overloadRetryAfter));
    } else {
        retryLater(request, now);
    }
}

void dispatcher::implementation::retryLater(request_state &request, time_point now)
{
    request.phase = request_phase::BackingOff;
    request.retryAt = now + firstRetryDelay * (1U << std::min(request.failedAttempts - 1, 6U));
    m_timers.add({.due = *request.retryAt, .kind = timer_kind::Retry, .request = request.request.id});
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
    while (const auto timer = m_timers.takeDue(now)) {
        timerDue(*timer, now);
    }
    startWaiting(now);
    return takeActions();
}

void dispatcher::implementation::timerDue(const request_timer &timer, time_point)
{
    request_state &request = m_requests.at(timer.request);
    switch (timer.kind) {
    case timer_kind::Deadline:
        finishWithoutAnswer(request, end_reason::DeadlineUnreachable, std::nullopt);
        break;
    case timer_kind::Retry:
        request.retryAt.reset();
        enqueue(request);
        break;
    case timer_kind::Hedge:
        break;
    case timer_kind::LongRun:
        request.longRunAt.reset();
        becomeLong(request);
        break;
    }
}

std::optional<time_point> dispatcher::implementation::nextWakeUp() const
{
    return m_timers.firstDue();
}

cell_load dispatcher::implementation::load(time_point) const
{
    cell_load result;
    result.onlineQueued = static_cast<std::uint32_t>(m_onlineQueue.size());
    result.batchQueued = static_cast<std::uint32_t>(m_batchQueue.size());
    for (const auto &[id, upstream] : m_upstreams) {
        result.onlineInFlight += upstream.onlineInFlight;
        result.batchInFlight += upstream.batchInFlight;
        result.slots += upstream.info.leaving ? 0 : upstream.limit.value();
    }
    return result;
}

std::vector<upstream_status> dispatcher::implementation::upstreams(time_point) const
{
    std::vector<upstream_status> result;
    for (const auto &[id, upstream] : m_upstreams) {
        result.push_back({
            .id = id,
            .condition = upstream.info.leaving ? upstream_condition::Leaving : upstream_condition::Good,
            .onlineInFlight = upstream.onlineInFlight,
            .batchInFlight = upstream.batchInFlight,
            .limit = upstream.limit.value(),
            .onlineLimit = onlineLimitOf(upstream),
            .onlineLongInFlight = upstream.onlineLongInFlight,
            .onlineLongLimit = longLimit(onlineLimitOf(upstream)),
        });
    }
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

dispatch_actions dispatcher::attemptEnded(attempt_id attempt, const attempt_result &result, time_point now)
{
    return m_implementation->attemptEnded(attempt, result, now);
}

dispatch_actions dispatcher::cancel(const request_id &request, time_point now)
{
    return m_implementation->cancel(request, now);
}

void dispatcher::loadReported(const upstream_id &, std::uint32_t, std::uint32_t, time_point, time_point)
{
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

std::vector<upstream_status> dispatcher::upstreams(time_point now) const
{
    return m_implementation->upstreams(now);
}

const dispatcher_counters &dispatcher::counters() const
{
    return m_implementation->counters();
}

} // namespace banyan
