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

bool lease_observer::lapsed(const std::string &key, time_point now) const
{
    const auto found = m_seen.find(key);
    if (found == m_seen.end()) {
        return false;
    }
    const sighting &seen = found->second;
    return now >= seen.lastSeen && seen.lastSeen - seen.firstSeen >= m_leaseDuration;
}

} // namespace banyan
