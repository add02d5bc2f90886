#pragma once

#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// Limits of a dispatcher. Defaults suit a cell of up to 16 upstreams.
struct dispatcher_options
{
    std::uint32_t initialSlots =
        4; ///< Requests in flight to one upstream before its limit has adapted; should be less than it can run without slowing.
    std::uint32_t maximumSlots = 64; ///< Upper end of the adaptive limit of one upstream.
    double headroomDeviations = 2.5; ///< Slots that batch work leaves free, in standard deviations of the cell's online work in flight.
    std::uint32_t onlineQueueLimit = 512; ///< Waiting online requests; more are refused as Overloaded.
    std::uint32_t batchQueueLimit = 512; ///< Waiting batch requests; more are refused as Overloaded.
    duration attemptTimeout = std::chrono::seconds(30); ///< Longest silence of an upstream during an attempt with a streamed answer.
    /// Longest attempt whose answer comes whole. One that may be repeated takes at most half of the time until the deadline,
    /// but no less than attemptTimeout, so that another try has a chance.
    duration wholeAnswerTimeout = std::chrono::minutes(10);
    std::uint32_t maximumAttempts =
        4; ///< Attempts for one request, hedges and preempted ones not counted; for a batch request also not those that certainly did not run.
    double retryShare = 0.1; ///< Retries allowed as a share of first attempts.
    double retryBurst = 64; ///< Retries allowed at once beyond that share.
    double hedgeShare = 0.05; ///< Hedges allowed as a share of first attempts.
    duration firstHedgeDelay = std::chrono::seconds(2); ///< Without a first byte, while too few answers are known to compare with.
    double hedgeBurst = 16; ///< Hedges allowed at once beyond that share.
    std::uint32_t crashLimit = 2; ///< Upstreams that one content may crash before it is stopped.
    duration quarantineDuration = std::chrono::minutes(10); ///< How long a stopped content stays refused.
    std::uint64_t seed = 1; ///< For jitter.
};

} // namespace banyan
