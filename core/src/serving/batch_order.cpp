#include "batch_order.h"

#include "../seconds.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double smoothingFactor = 0.1; ///< Weight of a new measurement in the exponential moving average.
constexpr double minimumRemainingShare = 0.1; ///< Remaining share of the average run time assumed for a run that exceeds the average.
constexpr double startedShare = 0.1; ///< Share of the average run time from which an item counts as started; little is lost below it.
constexpr double ampleSlackFactor = 1.2; ///< Multiple of the average run time that counts as ample slack, since items differ in length.
constexpr duration unreachableTargetOffset = std::chrono::hours(24); ///< Greater than any run time.

enum rank_group : std::uint32_t {
    Started,
    AmpleSlack, ///< Not started, with enough time left.
    LittleSlack, ///< Not started, and in time only without interruption.
};

void updateAverage(double &value, double measured)
{
    value = value > 0 ? value + smoothingFactor * (measured - value) : measured;
}

} // namespace

void batch_order::completed(duration runTime)
{
    updateAverage(m_runSeconds, toSeconds(runTime));
}

duration batch_order::remainingRunTime(duration ran) const
{
    return fromSeconds(std::max(m_runSeconds - toSeconds(ran), minimumRemainingShare * m_runSeconds));
}

batch_order::rank batch_order::rankOf(const slot_request &request, time_point now) const
{
    const duration left = request.target - now;
    const duration remaining = remainingRunTime(request.earlierRunTime);
    rank result{.targetUnreachable = left < remaining, .priority = request.priority};
    if (result.targetUnreachable) {
        result.urgency = remaining;
    } else if (request.earlierRunTime > duration(0) && toSeconds(request.earlierRunTime) >= startedShare * m_runSeconds) {
        result.group = Started;
        result.urgency = left - remaining;
    } else if (toSeconds(left) >= ampleSlackFactor * m_runSeconds) {
        result.group = AmpleSlack;
        result.urgency = left;
    } else {
        result.group = LittleSlack;
        result.urgency = -left;
    }
    return result;
}

duration batch_order::reclaimPriority(const slot_request &request, time_point grantedAt, time_point now) const
{
    const duration remaining = remainingRunTime(request.earlierRunTime + (now - grantedAt));
    const bool targetUnreachable = request.target - now < remaining;
    return targetUnreachable ? remaining + unreachableTargetOffset : remaining;
}

} // namespace banyan
