#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <map>
#include <utility>

namespace banyan {

/// Estimates which nodes have an idle connection to which upstreams, from the runs that were granted slots.
///
/// Load pattern: many nodes in front of many upstreams, where each pair is used so rarely that its connection would be
/// closed before the next use. Scheduling a run where its node has a connection saves opening one.
class held_connections
{
public:
    /// Records that a run of @p node at @p upstream was granted a slot: it uses an idle connection, if there is one.
    void granted(const node_id &node, const upstream_id &upstream);

    /// Records that a run has ended; @p reusable if its connection stays open.
    void released(const node_id &node, const upstream_id &upstream, bool reusable, time_point now);

    /// Whether the node probably has an idle connection to the upstream.
    [[nodiscard]] bool hasIdle(const node_id &node, const upstream_id &upstream, time_point now) const;

    /// Drops connections that have probably been closed.
    void expire(time_point now);

private:
    struct idle_connections
    {
        std::uint32_t count = 0;
        time_point lastUsed;
    };

    std::map<std::pair<node_id, upstream_id>, idle_connections> m_idle;
};

} // namespace banyan
