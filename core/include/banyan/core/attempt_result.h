#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <optional>

namespace banyan {

/// How an attempt ended, as observed by the sender.
enum class attempt_outcome {
    Succeeded, ///< The whole answer arrived.
    Answered, ///< The upstream ran the request and answered with an error that is final for the caller (HTTP 4xx but 429).
    NotSent, ///< No byte was sent: connecting failed or the start could not be recorded.
    Refused, ///< The upstream rejected the request without running it (HTTP 429 or 503).
    Failed, ///< The upstream answered with another HTTP 5xx; it may have run the request.
    Lost, ///< The connection broke or the answer was truncated after a byte may have been sent.
    TimedOut, ///< No answer within the attempt's timeout, after a byte may have been sent.
    Cancelled, ///< Ended by a cancel_attempt action.
};

/// The outcome of an attempt and what was received in it.
struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::Succeeded;
    std::optional<duration> retryAfter; ///< The retry delay that the upstream asked for, with Refused.
    std::uint32_t tokens = 0; ///< Tokens received in this attempt.

    auto operator<=>(const attempt_result &) const = default;
};

} // namespace banyan
