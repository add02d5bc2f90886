#include "baseline_dispatcher.h"

namespace banyan::bench {

dispatch_actions baseline_dispatcher::setUpstreams(std::span<const upstream_info> upstreams, time_point)
{
    m_upstreams.assign(upstreams.begin(), upstreams.end());
    startWaiting();
    return takeActions();
}

dispatch_actions baseline_dispatcher::submit(const dispatch_request &request, time_point)
{
    m_waiting.push_back({.request = request});
    startWaiting();
    return takeActions();
}

dispatch_actions baseline_dispatcher::firstByte(attempt_id attempt, time_point)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end()) {
        return {};
    }
    return {choose_attempt{.request = entry->second.request.id, .attempt = attempt}};
}

dispatch_actions baseline_dispatcher::progressed(attempt_id, std::uint32_t, time_point)
{
    return {};
}

dispatch_actions baseline_dispatcher::attemptEnded(attempt_id attempt, const attempt_result &result, time_point)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end()) {
        return {};
    }
    const attempt_state ended = entry->second;
    m_attempts.erase(entry);
    --m_inFlight[ended.upstream];
    if (result.outcome == attempt_outcome::Succeeded) {
        end(ended.request, {.what = disposition::Completed}, attempt);
    } else if (ended.number >= m_options.maximumAttempts || !ended.request.repeatable) {
        end(ended.request, {.what = disposition::Failed, .reason = end_reason::RetriesExhausted}, std::nullopt);
    } else {
        m_waiting.push_front({.request = ended.request, .attempts = ended.number});
    }
    startWaiting();
    return takeActions();
}

dispatch_actions baseline_dispatcher::tick(time_point)
{
    return {};
}

std::optional<time_point> baseline_dispatcher::nextWakeUp() const
{
    return std::nullopt;
}

cell_load baseline_dispatcher::load(time_point) const
{
    cell_load result;
    result.onlineQueued = static_cast<std::uint32_t>(m_waiting.size());
    result.onlineInFlight = static_cast<std::uint32_t>(m_attempts.size());
    result.slots = static_cast<std::uint32_t>(m_upstreams.size()) * m_options.slots;
    return result;
}

std::optional<std::size_t> baseline_dispatcher::chooseUpstream()
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        const std::size_t candidate = (m_nextUpstream + i) % m_upstreams.size();
        const std::uint32_t inFlight = m_inFlight[m_upstreams[candidate].id];
        if (inFlight >= m_options.slots) {
            continue;
        }
        if (m_options.choice == baseline_choice::RoundRobin) {
            return candidate;
        }
        if (!best || inFlight < m_inFlight[m_upstreams[*best].id]) {
            best = candidate;
        }
    }
    return best;
}

void baseline_dispatcher::startWaiting()
{
    while (!m_waiting.empty()) {
        const std::optional<std::size_t> chosen = chooseUpstream();
        if (!chosen) {
            return;
        }
        m_nextUpstream = (*chosen + 1) % m_upstreams.size();
        const waiting_request next = m_waiting.front();
        m_waiting.pop_front();
        const attempt_id attempt{.value = ++m_lastAttempt};
        const upstream_id upstream = m_upstreams[*chosen].id;
        m_attempts[attempt] = {.request = next.request, .upstream = upstream, .number = next.attempts + 1};
        ++m_inFlight[upstream];
        m_actions.emplace_back(start_attempt{.request = next.request.id, .attempt = attempt, .upstream = upstream});
    }
}

void baseline_dispatcher::end(const dispatch_request &request, const final_result &result, std::optional<attempt_id> attempt)
{
    m_actions.emplace_back(finish_request{.request = request.id, .result = result, .attempt = attempt});
}

dispatch_actions baseline_dispatcher::takeActions()
{
    dispatch_actions result;
    result.swap(m_actions);
    return result;
}

} // namespace banyan::bench
