#include "banyan/core/serving/replica_registry.h"

#include "banyan/core/serving/request_scheduler.h"

#include <set>

namespace banyan {

namespace {

constexpr duration leavingRetention = std::chrono::hours(1); // For incarnations that are not registered; far longer than leaving takes.

} // namespace

replica_registry::replica_registry(duration grace)
    : m_grace(grace)
{
}

bool replica_registry::retainsMissing(time_point now) const
{
    return m_storeUnavailable || (m_graceEnd && now < *m_graceEnd);
}

void replica_registry::replaceAll(const std::vector<replica> &registered, time_point now)
{
    std::set<upstream_id> present;
    for (const replica &entry : registered) {
        present.insert(entry.id);
        this->recordRegistration(entry);
    }
    std::vector<upstream_id> missing;
    for (const auto &[id, entry] : m_entries) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const upstream_id &id : missing) {
        recordRemoval(id, now);
    }
}

bool replica_registry::recordRegistration(const replica &entry)
{
    const auto reused = m_reusedAddresses.find(entry.id);
    if (reused != m_reusedAddresses.end() && reused->second != entry.address) {
        m_reusedAddresses.erase(reused);
    }
    m_missing.erase(entry.id);
    const auto existing = m_entries.find(entry.id);
    const bool isSame = existing != m_entries.end() && existing->second == entry;
    m_entries.insert_or_assign(entry.id, entry);
    return !isSame;
}

void replica_registry::recordRemoval(const upstream_id &id, time_point now)
{
    if (retainsMissing(now) && m_entries.contains(id)) {
        m_missing.insert(id);
        return;
    }
    m_entries.erase(id);
    m_missing.erase(id);
    m_reusedAddresses.erase(id);
}

void replica_registry::recordAddressReuse(const upstream_id &id)
{
    const auto entry = m_entries.find(id);
    if (entry != m_entries.end()) {
        m_reusedAddresses.insert_or_assign(id, entry->second.address);
    }
}

bool replica_registry::recordLeaving(upstream_key start, bool fromPeer, time_point now)
{
    const auto existing = m_leaving.find(start);
    if (existing != m_leaving.end()) {
        const bool isFirstLocalObservation = existing->second.fromPeer && !fromPeer;
        existing->second.fromPeer = existing->second.fromPeer && fromPeer;
        return isFirstLocalObservation;
    }
    pruneLeavingStarts(now);
    m_leaving.emplace(start, leaving_start{.since = now, .fromPeer = fromPeer});
    return true;
}

bool replica_registry::isLeaving(const replica &entry) const
{
    return !m_leaving.empty() && m_leaving.contains(keyOfStart(entry));
}

/// Drops old entries of incarnations that are no longer registered. A registered one keeps its entry, since leaving is final.
void replica_registry::pruneLeavingStarts(time_point now)
{
    std::set<upstream_key> registeredStarts;
    for (const replica &entry : leavingEntries()) {
        registeredStarts.insert(keyOfStart(entry));
    }
    std::erase_if(m_leaving, [&](const auto &entry) {
        return !registeredStarts.contains(entry.first) && now - entry.second.since >= leavingRetention;
    });
}

std::vector<replica> replica_registry::leavingEntries() const
{
    std::vector<replica> result;
    for (const auto &[id, entry] : m_entries) {
        if (isLeaving(entry)) {
            result.push_back(entry);
        }
    }
    return result;
}

std::vector<upstream_key> replica_registry::locallyObservedLeaving() const
{
    std::vector<upstream_key> result;
    for (const replica &entry : leavingEntries()) {
        const upstream_key start = keyOfStart(entry);
        if (!m_leaving.at(start).fromPeer) {
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
    m_storeUnavailable = true;
    m_graceEnd.reset();
}

void replica_registry::storeRegained(time_point now)
{
    m_storeUnavailable = false;
    m_graceEnd = now + m_grace;
}

bool replica_registry::tick(time_point now)
{
    if (m_storeUnavailable || !m_graceEnd || now < *m_graceEnd) {
        return false;
    }
    m_graceEnd.reset();
    const bool dropped = !m_missing.empty();
    const std::set<upstream_id> missing = std::move(m_missing);
    m_missing.clear();
    for (const upstream_id &id : missing) {
        recordRemoval(id, now);
    }
    return dropped;
}

std::optional<time_point> replica_registry::nextWakeUp() const
{
    return m_storeUnavailable ? std::nullopt : m_graceEnd;
}

std::vector<replica> replica_registry::replicas() const
{
    std::vector<replica> result;
    for (const auto &[id, entry] : m_entries) {
        if (!m_reusedAddresses.contains(id)) {
            result.push_back(entry);
            result.back().draining = entry.draining || isLeaving(entry);
        }
    }
    return result;
}

} // namespace banyan
