#include "request_queue.h"

#include <algorithm>

namespace banyan {

namespace {

std::size_t indexOf(work_lane lane)
{
    return static_cast<std::size_t>(lane);
}

} // namespace

request_queue::request_queue(double allowance)
    : m_allowance(allowance)
{
}

request_queue::lane_positions &request_queue::lanesOf(const waiting_request &request)
{
    return request.promoted ? m_promoted : m_callers[request.caller].lanes;
}

void request_queue::push(const waiting_request &request)
{
    caller_state &caller = m_callers[request.caller];
    if (caller.idle()) {
        caller.served = std::max(caller.served, m_virtualTime);
    }
    ++caller.waiting;
    const position key{.order = request.order, .sequence = ++m_lastSequence, .id = request.id};
    lanesOf(request)[indexOf(request.lane)].insert(key);
    m_entries[request.id] = {.request = request, .key = key};
}

bool request_queue::remove(const request_id &request)
{
    const auto entry = m_entries.find(request);
    if (entry == m_entries.end()) {
        return false;
    }
    const queued_entry removed = std::move(entry->second);
    m_entries.erase(entry);
    lanesOf(removed.request)[indexOf(removed.request.lane)].erase(removed.key);
    --m_callers.at(removed.request.caller).waiting;
    eraseIdleCaller(removed.request.caller);
    return true;
}

void request_queue::take(const request_id &request)
{
    const waiting_request taken = m_entries.at(request).request;
    caller_state &caller = m_callers[taken.caller];
    if (!taken.promoted) {
        m_virtualTime = std::max(m_virtualTime, caller.served);
    }
    caller.served += taken.cost;
    remove(request);
}

/// Removes a caller without waiting requests if its virtual time is not ahead of the queue's: it is equivalent to a new caller.
void request_queue::eraseIdleCaller(const caller_id &caller)
{
    const auto entry = m_callers.find(caller);
    if (entry != m_callers.end() && entry->second.idle() && entry->second.served <= m_virtualTime) {
        m_callers.erase(entry);
    }
    if (m_entries.empty()) {
        m_callers.clear();
        m_virtualTime = 0;
    }
}

std::size_t request_queue::aheadOf(const caller_id &caller) const
{
    const auto found = m_callers.find(caller);
    const std::size_t own = found == m_callers.end() ? 0 : found->second.waiting;
    return std::min(m_entries.size(), (own + 1) * m_callers.size());
}

const request_queue::position *request_queue::earliest(const lane_positions &lanes, const lane_set &blocked)
{
    const position *result = nullptr;
    for (std::size_t i = 0; i < workLaneCount; ++i) {
        if (lanes[i].empty() || blocked.contains(static_cast<work_lane>(i))) {
            continue;
        }
        const position &head = *lanes[i].begin();
        if (result == nullptr || head < *result) {
            result = &head;
        }
    }
    return result;
}

std::optional<double> request_queue::leastServed(const lane_set &blocked) const
{
    std::optional<double> result;
    for (const auto &[id, caller] : m_callers) {
        if (earliest(caller.lanes, blocked) != nullptr && (!result || caller.served < *result)) {
            result = caller.served;
        }
    }
    return result;
}

std::optional<waiting_request> request_queue::next(const lane_set &blocked) const
{
    const position *best = earliest(m_promoted, blocked);
    const std::optional<double> least = leastServed(blocked);
    if (best == nullptr && least) {
        for (const auto &[id, caller] : m_callers) {
            const position *const head = earliest(caller.lanes, blocked);
            const bool withinAllowance = caller.served <= *least + m_allowance;
            if (head != nullptr && withinAllowance && (best == nullptr || *head < *best)) {
                best = head;
            }
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return m_entries.at(best->id).request;
}

} // namespace banyan
