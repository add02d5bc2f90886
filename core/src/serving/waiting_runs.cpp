#include "waiting_runs.h"

namespace banyan {

void waiting_runs::add(const slot_request &request, bool late, time_point expiresAt)
{
    const order_key key{.late = late, .priority = request.priority, .target = request.target, .id = request.id};
    m_order.emplace(key, request);
    m_entries.emplace(request.id, entry{.key = key, .expiresAt = expiresAt});
    m_expiries.emplace(expiresAt, request.id);
    m_lateCount += late ? 1 : 0;
}

std::optional<slot_request> waiting_runs::remove(const request_id &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const entry removed = found->second;
    m_entries.erase(found);
    m_expiries.erase({removed.expiresAt, id});
    m_lateCount -= removed.key.late ? 1 : 0;
    return m_order.extract(removed.key).mapped();
}

std::optional<slot_request> waiting_runs::takeExpired(time_point now)
{
    if (m_expiries.empty() || m_expiries.begin()->first > now) {
        return std::nullopt;
    }
    return remove(request_id(m_expiries.begin()->second));
}

std::optional<time_point> waiting_runs::nextExpiry() const
{
    return m_expiries.empty() ? std::nullopt : std::optional(m_expiries.begin()->first);
}

bool waiting_runs::contains(const request_id &id) const
{
    return m_entries.contains(id);
}

} // namespace banyan
