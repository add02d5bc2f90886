#pragma once

#include "banyan/core/serving/slot_request.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// Orders batch runs for scheduling and for preemption.
///
/// Load pattern: more batch work than fits between the bursts of online work. In order of deadlines alone (earliest deadline
/// first), all items would miss theirs one after the other. So started items that can still complete in time run first, then
/// items with enough time left in their window, then items with little slack. Items that cannot complete in time run only
/// when no others wait.
///
/// The time that an item needs at upstreams is estimated from completed items.
class batch_order
{
public:
    /// The sort key of a waiting run; the least is scheduled first, and of equal ones that with the least id.
    struct rank
    {
        bool targetUnreachable = false;
        std::uint32_t priority = 0;
        std::uint32_t group = 0;
        duration urgency{};

        auto operator<=>(const rank &) const = default;
    };

    /// Records a completed item, with the time that all its runs together spent at upstreams.
    void completed(duration runTime);

    /// The sort key of a waiting run.
    [[nodiscard]] rank rankOf(const slot_request &request, time_point now) const;

    /// The priority for reclaiming the slot of a run that was granted at @p grantedAt; the greatest is reclaimed first. Runs
    /// that cannot complete in time come first, then those with the most remaining run time.
    [[nodiscard]] duration reclaimPriority(const slot_request &request, time_point grantedAt, time_point now) const;

private:
    [[nodiscard]] duration remainingRunTime(duration ran) const;

    double m_runSeconds = 0; ///< Moving average of the run time of items; 0 before the first measurement.
};

} // namespace banyan
