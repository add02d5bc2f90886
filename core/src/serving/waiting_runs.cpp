#include "waiting_runs.h"

namespace banyan {

void waiting_runs::add(const slot_request &request, bool late, time_point giveUpAt)
{
    const place at{.late = late, .priority = request.priority, .target = request.target, .id = request.id};
    m_order.emplace(at, request);
    m_entries.emplace(request.id, entry{.at = at, .giveUpAt = giveUpAt});
    m_giveUps.emplace(giveUpAt, request.id);
    m_late += late ? 1 : 0;
}

std::optional<slot_request> waiting_runs::remove(const request_id &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const entry removed = found->second;
    m_entries.erase(found);
    m_giveUps.erase({removed.giveUpAt, id});
    m_late -= removed.at.late ? 1 : 0;
    return m_order.extract(removed.at).mapped();
}

std::optional<slot_request> waiting_runs::takeOverdue(time_point now)
{
    if (m_giveUps.empty() || m_giveUps.begin()->first > now) {
        return std::nullopt;
    }
    return remove(request_id(m_giveUps.begin()->second));
}

std::optional<time_point> waiting_runs::nextGiveUp() const
{
    return m_giveUps.empty() ? std::nullopt : std::optional(m_giveUps.begin()->first);
}

bool waiting_runs::contains(const request_id &id) const
{
    return m_entries.contains(id);
}

} // namespace banyan
