#pragma once

#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// Limits of a dispatcher. The defaults suit a cell of up to 16 upstreams.
struct dispatcher_options
{
    std::uint32_t initialSlots = 4; ///< Initial concurrency limit of an upstream; should be below the load at which it slows down.
    std::uint32_t maximumSlots = 64; ///< Upper bound of the adaptive concurrency limit of one upstream.
    double headroomDeviations = 2.5; ///< Slots that batch work leaves free, in standard deviations of the cell's online requests in flight.
    std::uint32_t onlineQueueLimit = 512; ///< Maximum of queued online requests; more are rejected as Overloaded.
    std::uint32_t batchQueueLimit = 512; ///< Maximum of queued batch requests; more are rejected as Overloaded.
    duration attemptTimeout = std::chrono::seconds(30); ///< Longest time without a byte during an attempt with a streamed answer.
    /// Longest attempt whose answer is not streamed. A repeatable request waits at most half of the time until its deadline,
    /// but no less than attemptTimeout, so that a retry can still succeed.
    duration wholeAnswerTimeout = std::chrono::minutes(10);
    /// Failed attempts after which a request ends. Cancelled attempts (preempted, or slower than a hedge) are not counted, and for
    /// a batch request those that certainly did not run are not counted either.
    std::uint32_t maximumAttempts = 4;
    double retryShare = 0.1; ///< Retries allowed, as a fraction of first attempts.
    double retryBurst = 64; ///< Retries allowed in a burst beyond retryShare.
    double hedgeShare = 0.05; ///< Hedges allowed, as a fraction of first attempts.
    duration firstHedgeDelay = std::chrono::seconds(2); ///< Delay of a hedge until enough first-byte latencies were measured.
    double hedgeBurst = 16; ///< Hedges allowed in a burst beyond hedgeShare.
    std::uint32_t crashLimit = 2; ///< Upstreams that one content may crash before it is quarantined.
    duration quarantineDuration = std::chrono::minutes(10); ///< How long a quarantined content is rejected.
    std::uint64_t seed = 1; ///< Seed of the random jitter in retry delays.
};

} // namespace banyan
