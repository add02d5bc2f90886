#include "banyan/core/serving/replica_registry.h"

namespace banyan {

replica_registry::replica_registry(duration grace)
    : m_grace(grace)
{
}

bool replica_registry::keepsMissing(time_point now) const
{
    return m_storeAway || (m_graceEnd && now < *m_graceEnd);
}

void replica_registry::replaceAll(const std::vector<replica> &registered, time_point now)
{
    std::set<upstream_id> present;
    for (const replica &entry : registered) {
        present.insert(entry.id);
        this->registered(entry);
    }
    std::vector<upstream_id> missing;
    for (const auto &[id, entry] : m_entries) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const upstream_id &id : missing) {
        removed(id, now);
    }
}

bool replica_registry::registered(const replica &entry)
{
    const auto reused = m_reused.find(entry.id);
    if (reused != m_reused.end() && reused->second != entry.address) {
        m_reused.erase(reused);
    }
    m_missing.erase(entry.id);
    const auto known = m_entries.find(entry.id);
    const bool isSame = known != m_entries.end() && known->second == entry;
    m_entries.insert_or_assign(entry.id, entry);
    return !isSame;
}

void replica_registry::removed(const upstream_id &id, time_point now)
{
    if (keepsMissing(now) && m_entries.contains(id)) {
        m_missing.insert(id);
        return;
    }
    m_entries.erase(id);
    m_missing.erase(id);
    m_reused.erase(id);
}

void replica_registry::addressReused(const upstream_id &id)
{
    const auto entry = m_entries.find(id);
    if (entry != m_entries.end()) {
        m_reused.insert_or_assign(id, entry->second.address);
    }
}

void replica_registry::storeLost()
{
    m_storeAway = true;
    m_graceEnd.reset();
}

void replica_registry::storeRegained(time_point now)
{
    m_storeAway = false;
    m_graceEnd = now + m_grace;
}

bool replica_registry::tick(time_point now)
{
    if (m_storeAway || !m_graceEnd || now < *m_graceEnd) {
        return false;
    }
    m_graceEnd.reset();
    const bool dropped = !m_missing.empty();
    const std::set<upstream_id> missing = std::move(m_missing);
    m_missing.clear();
    for (const upstream_id &id : missing) {
        removed(id, now);
    }
    return dropped;
}

std::optional<time_point> replica_registry::nextWakeUp() const
{
    return m_storeAway ? std::nullopt : m_graceEnd;
}

std::vector<replica> replica_registry::replicas() const
{
    std::vector<replica> result;
    for (const auto &[id, entry] : m_entries) {
        if (!m_reused.contains(id)) {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace banyan
