#include "retry_after_estimator.h"

#include "../seconds.h"

#include <algorithm>
#include <vector>

namespace banyan {

namespace {

constexpr duration burstGap = std::chrono::milliseconds(500); ///< A burst ends after this time without a rejection.
constexpr std::size_t rememberedBursts = 8; ///< Enough for a median, few enough to follow load changes.
constexpr duration minimumRetryAfter = std::chrono::milliseconds(100); ///< In less time hardly any slot becomes free.
constexpr double freeShareAfterBurst = 0.5; ///< Share of the slots for retries after a burst; the rest serves new arrivals.
constexpr double maximumJitterShare = 0.25; ///< Retries that must come within the burst are spread over this last part of their maximum.

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
    // Retries are spaced at the rate at which slots become free: clients that retry together would be rejected again.
    const double freeRate = std::max(1.0, conditions.slotsPerSecond * freeShareAfterBurst);
    const duration after = remaining + fromSeconds((m_scheduledRetries + uniform(generator)) / freeRate);
    if (after >= maximumRetryAfter) {
        // The client cannot wait for a free slot after the burst, so it retries as late as it can.
        return maximumRetryAfter - fromSeconds(toSeconds(maximumRetryAfter) * maximumJitterShare * uniform(generator));
    }
    ++m_scheduledRetries;
    return after;
}

} // namespace banyan
