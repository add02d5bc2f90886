#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <optional>
#include <string_view>

namespace banyan {

/// What is true of a request at its end.
enum class disposition {
    Completed, ///< One upstream answered; the answer is the caller's.
    NotRun, ///< No upstream ran the request, for sure.
    OutcomeUnknown, ///< Sent, and its answer lost; it may have run.
    Failed, ///< It ran, or may have run, and has no answer; another try is not to be expected to help.
    Cancelled, ///< Ended on the caller's wish.
};

/// Why a request ended without an answer.
enum class end_reason {
    None,
    Overloaded, ///< The queue is full.
    DeadlineUnreachable, ///< The deadline passed or cannot be met.
    RateLimited, ///< The caller's or the service's limit is used up.
    NoUpstream, ///< No live upstream takes requests.
    RetriesExhausted, ///< The retry budget or the attempts are used up.
    AnswerLost, ///< The answer of a request not to be repeated was lost.
    CrashesUpstreams, ///< The same content crashed several upstreams.
    Draining, ///< This node is stopping.
    StoreUnavailable, ///< A record is needed and the platform's store does not answer.
    CancelledByCaller,
};

/// A name for logs, metrics and error bodies, for example "deadline_unreachable".
[[nodiscard]] std::string_view toString(end_reason reason);

/// A name for logs, metrics and error bodies, for example "not_run".
[[nodiscard]] std::string_view toString(disposition value);

/// The end of a request at a dispatcher.
struct final_result
{
    disposition what = disposition::Completed;
    end_reason reason = end_reason::None;
    std::optional<duration> retryAfter; ///< When to come back, if that can help.

    auto operator<=>(const final_result &) const = default;
};

} // namespace banyan
