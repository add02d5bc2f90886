#include "banyan/core/serving/limit_tolerance.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr int creditsPerWindow = 20; // Life times of a credit.
constexpr duration shortestCreditTime = std::chrono::milliseconds(100); // Several times as long as an answer to an ask takes.
constexpr double overageOfRate = 0.9; // Part of the overage that goes into the rate; the rest goes into the burst.

double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

duration creditTimeOf(const limit_tolerance &tolerance)
{
    return std::max(shortestCreditTime, tolerance.window / creditsPerWindow);
}

pooled_rate pooledRateOf(const organisation &limited, const limit_tolerance &tolerance)
{
    const double window = secondsOf(tolerance.window);
    const double inWindow = limited.requestsPerSecond * window;
    const double fromRate = inWindow * (1 + overageOfRate * tolerance.overage);
    const double tolerated = (inWindow + limited.burst) * (1 + tolerance.overage) + tolerance.slack;
    // A burst below one request would admit nothing at all.
    return {.perSecond = fromRate / (window + secondsOf(creditTimeOf(tolerance))), .burst = std::max(1.0, tolerated - fromRate)};
}

} // namespace banyan
