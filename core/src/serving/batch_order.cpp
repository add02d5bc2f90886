#include "batch_order.h"

#include "../seconds.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double averageStep = 0.1; ///< Weight of a new measurement.
constexpr double leastRemainingShare = 0.1; ///< Of the usual time, of a run that has taken longer than usual already.
constexpr double begunShare = 0.1; ///< Of the usual time; an item that was cut before it can as well begin later.
constexpr double comfortFactor = 1.2; ///< Over the usual time at upstreams: items differ in length.
constexpr duration hopelessBonus = std::chrono::hours(24); ///< Above any time that a run can take.

enum rank_group : std::uint32_t {
    Begun,
    Comfortable, ///< Not begun, with time enough.
    Tight, ///< Not begun, and in time only if nothing comes between.
};

void average(double &value, double measured)
{
    value = value > 0 ? value + averageStep * (measured - value) : measured;
}

} // namespace

void batch_order::completed(duration runTime)
{
    average(m_runSeconds, toSeconds(runTime));
}

duration batch_order::remainingAfter(duration ran) const
{
    return fromSeconds(std::max(m_runSeconds - toSeconds(ran), leastRemainingShare * m_runSeconds));
}

batch_order::rank batch_order::rankOf(const slot_request &request, time_point now) const
{
    const duration left = request.target - now;
    const duration remaining = remainingAfter(request.ranBefore);
    rank result{.hopeless = left < remaining, .priority = request.priority, .id = request.id};
    if (result.hopeless) {
        result.urgency = remaining;
    } else if (request.ranBefore > duration(0) && toSeconds(request.ranBefore) >= begunShare * m_runSeconds) {
        result.group = Begun;
        result.urgency = left - remaining;
    } else if (toSeconds(left) >= comfortFactor * m_runSeconds) {
        result.group = Comfortable;
        result.urgency = left;
    } else {
        result.group = Tight;
        result.urgency = -left;
    }
    return result;
}

duration batch_order::reclaimOrder(const slot_request &request, time_point grantedAt, time_point now) const
{
    const duration remaining = remainingAfter(request.ranBefore + (now - grantedAt));
    const bool hopeless = request.target - now < remaining;
    return hopeless ? remaining + hopelessBonus : remaining;
}

} // namespace banyan
