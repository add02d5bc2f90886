#include "banyan/core/lease_observer.h"

namespace banyan {

void lease_observer::observe(const row &lease, time_point now)
{
    observation &observed = m_observations[lease.key];
    if (observed.version != lease.version) {
        observed = {.version = lease.version, .firstObserved = now, .lastObserved = now};
        return;
    }
    observed.lastObserved = now;
}

void lease_observer::forget(const std::string &key)
{
    m_observations.erase(key);
}

duration lease_observer::unchangedFor(const std::string &key) const
{
    const auto found = m_observations.find(key);
    return found == m_observations.end() ? duration::zero() : found->second.lastObserved - found->second.firstObserved;
}

void lease_observer::retain(const std::set<std::string> &keys)
{
    std::erase_if(m_observations, [&keys](const auto &entry) {
        return !keys.contains(entry.first);
    });
}

} // namespace banyan
