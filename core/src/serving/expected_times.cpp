#include "expected_times.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double disturbanceSeconds = 0.3; ///< Expected remaining time of a difference between the current and the usual factor.

} // namespace

expected_times expectedTimes(const expected_work &work, const upstream_prospect &upstream)
{
    const double disturbed = std::min(work.runSeconds, disturbanceSeconds / upstream.currentFactor);
    return {.firstByteSeconds = work.firstByteSeconds * upstream.currentFactor,
            .finishSeconds = disturbed * upstream.currentFactor + (work.runSeconds - disturbed) * upstream.usualFactor,
            .drainSeconds = upstream.remainingSeconds / std::max(1U, upstream.slots)};
}

} // namespace banyan
