#include "banyan/core/serving/replica_registry.h"

#include "banyan/core/serving/request_scheduler.h"

#include <set>

namespace banyan {

namespace {

constexpr duration leavingMemory = std::chrono::hours(1); // Of starts that are not registered; far longer than one takes to leave.

} // namespace

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

bool replica_registry::leaving(upstream_key start, bool told, time_point now)
{
    const auto known = m_leaving.find(start);
    if (known != m_leaving.end()) {
        const bool heardFirst = known->second.told && !told;
        known->second.told = known->second.told && told;
        return heardFirst;
    }
    forgetOldLeaving(now);
    m_leaving.emplace(start, leaving_start{.since = now, .told = told});
    return true;
}

bool replica_registry::hasSaidLeaving(const replica &entry) const
{
    return !m_leaving.empty() && m_leaving.contains(keyOfStart(entry));
}

/// Forgets starts that have not been registered for long; those that are registered leave for as long as they live.
void replica_registry::forgetOldLeaving(time_point now)
{
    std::set<upstream_key> registeredStarts;
    for (const replica &entry : leavingEntries()) {
        registeredStarts.insert(keyOfStart(entry));
    }
    std::erase_if(m_leaving, [&](const auto &entry) {
        return !registeredStarts.contains(entry.first) && now - entry.second.since >= leavingMemory;
    });
}

std::vector<replica> replica_registry::leavingEntries() const
{
    std::vector<replica> result;
    for (const auto &[id, entry] : m_entries) {
        if (hasSaidLeaving(entry)) {
            result.push_back(entry);
        }
    }
    return result;
}

std::vector<upstream_key> replica_registry::heardLeaving() const
{
    std::vector<upstream_key> result;
    for (const replica &entry : leavingEntries()) {
        const upstream_key start = keyOfStart(entry);
        if (!m_leaving.at(start).told) {
            result.push_back(start);
        }
    }
    return result;
}

std::size_t replica_registry::leavingCount() const
{
    return leavingEntries().size();
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
            result.back().draining = entry.draining || hasSaidLeaving(entry);
        }
    }
    return result;
}

} // namespace banyan
