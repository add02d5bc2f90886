#include "banyan/core/dispatcher.h"

#include "dispatcher_state.h"
#include "request_queue.h"
#include "timer_queue.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <unordered_map>

namespace banyan {

namespace {

constexpr duration firstRetryDelay = std::chrono::milliseconds(20);
constexpr duration overloadRetryAfter = std::chrono::seconds(1);
constexpr duration noUpstreamRetryAfter = std::chrono::seconds(2);
constexpr duration drainRetryAfter = std::chrono::milliseconds(0);

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

private:
    request_queue &queueOf(work_class value);
    [[nodiscard]] bool hasUsableUpstream() const;
    upstream_state *freeUpstreamFor(const request_state &request);
    void startWaiting(time_point now);
    void startClass(work_class value, time_point now);
    void startAttempt(request_state &request, upstream_state &upstream, time_point now);
    void releaseSlot(const attempt_state &attempt, work_class value);
    void choose(request_state &request, attempt_id attempt);
    void finish(request_state &request, const final_result &result, std::optional<attempt_id> attempt = std::nullopt);
    void finishWithoutAnswer(request_state &request, end_reason reason, std::optional<duration> retryAfter);
    void finishQueued(end_reason reason, std::optional<duration> retryAfter);
    void cancelAttempt(attempt_id attempt, work_class value);
    void attemptFailed(request_state &request, const attempt_result &result, time_point now);
    void retryLater(request_state &request, time_point now);
    void timerDue(const request_timer &timer, time_point now);
    dispatch_actions takeActions();

    dispatcher_options m_options;
    std::map<upstream_id, upstream_state> m_upstreams;
    std::unordered_map<request_id, request_state> m_requests;
    std::map<attempt_id, attempt_state> m_attempts;
    request_queue m_onlineQueue;
    request_queue m_batchQueue;
    timer_queue m_timers;
    dispatch_actions m_actions;
    std::uint64_t m_lastAttempt = 0;
    bool m_draining = false;
};

request_queue &dispatcher::implementation::queueOf(work_class value)
{
    return value == work_class::Online ? m_onlineQueue : m_batchQueue;
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
        const auto [entry, inserted] = m_upstreams.try_emplace(info.id);
        entry->second.info = info;
        if (inserted) {
            entry->second.limit = m_options.initialSlots;
        }
    }
    std::erase_if(m_upstreams, [&](const auto &entry) {
        const upstream_state &upstream = entry.second;
        return upstream.info.leaving && upstream.onlineInFlight + upstream.batchInFlight == 0;
    });
    if (!hasUsableUpstream()) {
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
        queueOf(request.workClass).push(request);
        startWaiting(now);
    }
    return takeActions();
}

upstream_state *dispatcher::implementation::freeUpstreamFor(const request_state &request)
{
    upstream_state *best = nullptr;
    bool bestTried = false;
    for (auto &[id, upstream] : m_upstreams) {
        const std::uint32_t inFlight = upstream.onlineInFlight + upstream.batchInFlight;
        if (upstream.info.leaving || inFlight >= upstream.limit) {
            continue;
        }
        const bool tried = request.tried.contains(id);
        const bool lessBusy = best == nullptr || inFlight < best->onlineInFlight + best->batchInFlight;
        if (best == nullptr || (bestTried && !tried) || (bestTried == tried && lessBusy)) {
            best = &upstream;
            bestTried = tried;
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
    while (const dispatch_request *next = queue.next([](const dispatch_request &) {
        return true;
    })) {
        request_state &request = m_requests.at(next->id);
        upstream_state *const upstream = freeUpstreamFor(request);
        if (upstream == nullptr) {
            return;
        }
        queue.remove(request.request.id);
        startAttempt(request, *upstream, now);
    }
}

void dispatcher::implementation::startAttempt(request_state &request, upstream_state &upstream, time_point now)
{
    const attempt_id attempt{.value = ++m_lastAttempt};
    m_attempts[attempt] = {.request = request.request.id, .upstream = upstream.info.id, .startedAt = now};
    request.attempts.push_back(attempt);
    request.phase = request_phase::InFlight;
    ++(request.request.workClass == work_class::Online ? upstream.onlineInFlight : upstream.batchInFlight);
    m_actions.emplace_back(start_attempt{
        .request = request.request.id,
        .attempt = attempt,
        .upstream = upstream.info.id,
        .timeout = m_options.attemptTimeout,
    });
}

void dispatcher::implementation::releaseSlot(const attempt_state &attempt, work_class value)
{
    const auto entry = m_upstreams.find(attempt.upstream);
    upstream_state &upstream = entry->second;
    --(value == work_class::Online ? upstream.onlineInFlight : upstream.batchInFlight);
    if (upstream.info.leaving && upstream.onlineInFlight + upstream.batchInFlight == 0) {
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
            cancelAttempt(other, request.request.workClass);
        }
    }
}

void dispatcher::implementation::cancelAttempt(attempt_id attempt, work_class value)
{
    const auto entry = m_attempts.find(attempt);
    releaseSlot(entry->second, value);
    request_state &request = m_requests.at(entry->second.request);
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
        cancelAttempt(other, request.request.workClass);
    }
    queueOf(request.request.workClass).remove(id);
    m_timers.remove({.due = request.request.deadline, .kind = timer_kind::Deadline, .request = id});
    if (request.retryAt) {
        m_timers.remove({.due = *request.retryAt, .kind = timer_kind::Retry, .request = id});
    }
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
    releaseSlot(ended, request.request.workClass);
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
        request.phase = request_phase::Queued;
        queueOf(request.request.workClass).pushFront(request.request);
        break;
    case timer_kind::Hedge:
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
        result.slots += upstream.info.leaving ? 0 : upstream.limit;
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

} // namespace banyan
