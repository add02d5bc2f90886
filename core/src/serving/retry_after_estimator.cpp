#include "retry_after_estimator.h"

#include "../seconds.h"

#include <algorithm>
#include <vector>

namespace banyan {

namespace {

constexpr duration burstGap = std::chrono::milliseconds(500); ///< Without anyone turned away the burst is over.
constexpr std::size_t rememberedBursts = 8; ///< Enough for a median, few enough to follow a change of the load.
constexpr duration minimumRetryAfter = std::chrono::milliseconds(100); ///< Less is no time for a slot to become free.
constexpr double freeShareAfterBurst = 0.5; ///< Of the slots, in the lull after a burst; the rest goes to work that arrives then.
constexpr double maximumJitterShare = 0.25; ///< Part of the longest time over which returns within a burst are spread.

} // namespace

void retry_after_estimator::recordRejection(time_point now)
{
    if (m_hasRejections && now - m_lastRejectionAt <= burstGap) {
        m_lastRejectionAt = now;
        return;
    }
    if (m_hasRejections) {
        m_burstLengths.push_back(m_lastRejectionAt - m_burstStartedAt);
        if (m_burstLengths.size() > rememberedBursts) {
            m_burstLengths.pop_front();
        }
    }
    m_hasRejections = true;
    m_burstStartedAt = now;
    m_lastRejectionAt = now;
    m_scheduledRetries = 0;
}

duration retry_after_estimator::expectedRemaining(time_point now) const
{
    const duration elapsed = now - m_burstStartedAt;
    std::vector<duration> longer;
    std::copy_if(m_burstLengths.begin(), m_burstLengths.end(), std::back_inserter(longer), [&](duration length) {
        return length > elapsed;
    });
    if (longer.empty()) {
        return elapsed;
    }
    std::nth_element(longer.begin(), longer.begin() + static_cast<std::ptrdiff_t>(longer.size() / 2), longer.end());
    return longer[longer.size() / 2] - elapsed;
}

duration retry_after_estimator::retryAfter(const load_conditions &conditions, time_point now, std::mt19937_64 &generator)
{
    recordRejection(now);
    const duration maximumRetryAfter = std::max(minimumRetryAfter, conditions.maximumRetryAfter);
    const duration remaining = std::max({minimumRetryAfter, conditions.expectedWait, expectedRemaining(now)});
    std::uniform_real_distribution<double> uniform(0, 1);
    // One after the other, as slots become free: clients that come back together would be turned away again.
    const double freeRate = std::max(1.0, conditions.slotsPerSecond * freeShareAfterBurst);
    const duration after = remaining + fromSeconds((m_scheduledRetries + uniform(generator)) / freeRate);
    if (after >= maximumRetryAfter) {
        // The end of the burst, or a free slot after it, is out of reach: the later, the better.
        return maximumRetryAfter - fromSeconds(toSeconds(maximumRetryAfter) * maximumJitterShare * uniform(generator));
    }
    ++m_scheduledRetries;
    return after;
}

} // namespace banyan
