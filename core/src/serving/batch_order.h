#pragma once

#include "banyan/core/serving/slot_request.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// Which batch runs get the slots, and which give theirs back.
///
/// Load pattern: more batch work than fits between the bursts of online work. Served by their deadlines alone, all items
/// would become late one after the other. So items that were begun are finished first while they can be in time; others
/// begin only while enough of their window is left; those that cannot be in time any more wait until nothing else does.
///
/// The time that an item takes at upstreams is learned.
class batch_order
{
public:
    /// The place of a waiting run; the least goes first.
    struct rank
    {
        bool targetUnreachable = false;
        std::uint32_t priority = 0;
        std::uint32_t group = 0;
        duration urgency{};
        request_id id;

        auto operator<=>(const rank &) const = default;
    };

    /// Takes in an item that is complete, with the time that it spent at upstreams in all its runs.
    void completed(duration runTime);

    /// The place of a run that waits.
    [[nodiscard]] rank rankOf(const slot_request &request, time_point now) const;

    /// How much sooner than others a run should give its slot back, which it was granted at @p grantedAt; the greatest goes
    /// first: those that cannot be in time, then those with most left to do.
    [[nodiscard]] duration reclaimPriority(const slot_request &request, time_point grantedAt, time_point now) const;

private:
    [[nodiscard]] duration remainingRunTime(duration ran) const;

    double m_runSeconds = 0; ///< Average; 0 while unknown.
};

} // namespace banyan
