#pragma once

#include "banyan/core/serving/allowed_rate.h"
#include "banyan/core/time.h"
#include "banyan/core/token_bucket.h"
#include "banyan/core/work_class.h"

namespace banyan {

/// Limits how often this node starts runs at a rate-limited upstream.
///
/// Load pattern: bursts of online work at upstreams that accept less than before. Every start counts against the limit. Batch work
/// keeps to it; online work that finds no slot elsewhere may exceed it by what the platform tolerates.
class start_budget
{
public:
    /// Begins without any start allowed: the upstream may just have got as many requests from this node or another one. For the
    /// same reason nothing is kept of a budget when this node's part of it becomes smaller.
    start_budget(const allowed_rate &allowed, time_point now);

    void setRate(const allowed_rate &allowed, time_point now);

    /// Whether a run may be started within the limit.
    [[nodiscard]] bool isWithinLimit(time_point now) const;

    /// Whether a run of a class may be started.
    [[nodiscard]] bool mayStart(work_class workClass, time_point now) const;

    /// When a run of a class may be started; time_point::max() if never.
    [[nodiscard]] time_point whenMayStart(work_class workClass) const;

    /// Counts a start.
    void recordStart(time_point now);

    /// Online runs per second that may be started.
    [[nodiscard]] double startsPerSecond() const
    {
        return m_tolerated.rate();
    }

private:
    token_bucket m_limit; ///< Of the limit itself.
    token_bucket m_tolerated;
};

} // namespace banyan
