#include "held_connections.h"

namespace banyan {

namespace {

constexpr duration idleLifetime = std::chrono::seconds(3); ///< Shorter than the time for which upstreams usually keep an idle connection.

} // namespace

void held_connections::granted(const node_id &node, const upstream_id &upstream)
{
    const auto entry = m_idle.find({node, upstream});
    if (entry != m_idle.end() && --entry->second.count == 0) {
        m_idle.erase(entry);
    }
}

void held_connections::released(const node_id &node, const upstream_id &upstream, bool reusable, time_point now)
{
    if (reusable) {
        idle_connections &idle = m_idle[{node, upstream}];
        idle.count = now - idle.lastUsed < idleLifetime ? idle.count + 1 : 1;
        idle.lastUsed = now;
    }
}

bool held_connections::hasIdle(const node_id &node, const upstream_id &upstream, time_point now) const
{
    const auto entry = m_idle.find({node, upstream});
    return entry != m_idle.end() && now - entry->second.lastUsed < idleLifetime;
}

void held_connections::expire(time_point now)
{
    std::erase_if(m_idle, [&](const auto &entry) {
        return now - entry.second.lastUsed >= idleLifetime;
    });
}

} // namespace banyan
