#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <deque>
#include <random>

namespace banyan {

/// When clients that are turned away should come back.
///
/// Load pattern: bursts of online work beyond the slots, with room between them. A client that comes back within the same
/// burst is turned away again, and clients that come back together are a burst of their own. So the length of bursts is
/// learned, and the returns are spread over the time after the end, at the rate at which slots become free. An unknown burst
/// is expected to last as long again as it has.
class retry_after_estimator
{
public:
    /// What is known when a client is turned away.
    struct load_conditions
    {
        duration expectedWait{}; ///< For a slot, of a run that arrives now.
        duration maximumRetryAfter{}; ///< The client cannot come back later than that and still be served.
        double slotsPerSecond = 1; ///< That become free while all are in use.
    };

    /// After how long a client that is turned away at @p now should come back.
    [[nodiscard]] duration retryAfter(const load_conditions &conditions, time_point now, std::mt19937_64 &generator);

private:
    void recordRejection(time_point now);
    [[nodiscard]] duration expectedRemaining(time_point now) const;

    time_point m_burstStartedAt;
    time_point m_lastRejectionAt;
    bool m_hasRejections = false;
    std::uint32_t m_scheduledRetries = 0; ///< Clients that were told to come back after the end of this burst.
    std::deque<duration> m_burstLengths; ///< Of earlier bursts, the latest last.
};

} // namespace banyan
