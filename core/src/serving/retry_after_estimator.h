#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <deque>
#include <random>

namespace banyan {

/// Estimates the Retry-After time of rejected clients.
///
/// Load pattern: bursts of online work that exceed the slots, with free capacity between them. A client that retries within
/// the same burst is rejected again, and clients that retry together cause a new burst. So the estimator learns how long
/// bursts last and spreads the retries over the time after the burst, at the rate at which slots become free. A burst that is
/// longer than all recorded ones is expected to last as long again as it already has.
class retry_after_estimator
{
public:
    /// The load at the time of a rejection.
    struct load_conditions
    {
        duration expectedWait{}; ///< Expected wait for a slot of a run that arrives now.
        duration maximumRetryAfter{}; ///< A client that retries later cannot be served in time.
        double slotsPerSecond = 1; ///< Rate at which slots become free while all are in use.
    };

    /// The time after which a client that is rejected at @p now should retry.
    [[nodiscard]] duration retryAfter(const load_conditions &conditions, time_point now, std::mt19937_64 &generator);

private:
    void recordRejection(time_point now);
    [[nodiscard]] duration expectedRemaining(time_point now) const;

    time_point m_burstStartedAt;
    time_point m_lastRejectionAt;
    bool m_hasRejections = false;
    std::uint32_t m_scheduledRetries = 0; ///< Clients that were told to retry after the end of this burst.
    std::deque<duration> m_burstLengths; ///< Lengths of earlier bursts, the latest last.
};

} // namespace banyan
