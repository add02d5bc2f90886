#include "banyan/core/lease_observer.h"

namespace banyan {

void lease_observer::observe(const row &lease, time_point now)
{
    sighting &seen = m_seen[lease.key];
    if (seen.version != lease.version) {
        seen = {.version = lease.version, .firstSeen = now, .lastSeen = now};
        return;
    }
    seen.lastSeen = now;
}

void lease_observer::forget(const std::string &key)
{
    m_seen.erase(key);
}

duration lease_observer::unchangedFor(const std::string &key) const
{
    const auto found = m_seen.find(key);
    return found == m_seen.end() ? duration::zero() : found->second.lastSeen - found->second.firstSeen;
}

void lease_observer::retain(const std::set<std::string> &keys)
{
    std::erase_if(m_seen, [&keys](const auto &entry) {
        return !keys.contains(entry.first);
    });
}

} // namespace banyan
