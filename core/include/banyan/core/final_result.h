#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <optional>
#include <string_view>

namespace banyan {

/// How a request ended: whether it ran and whether it has an answer.
enum class disposition {
    Completed, ///< An upstream answered; the caller gets its answer.
    NotRun, ///< Certainly no upstream ran the request.
    OutcomeUnknown, ///< It was sent and its answer was lost; it may have run.
    Failed, ///< It ran or may have run and has no answer; a retry is not expected to succeed.
    Cancelled, ///< The caller cancelled it.
};

/// Why a request ended without an answer.
enum class end_reason {
    None,
    Overloaded, ///< The queue is full.
    DeadlineUnreachable, ///< The deadline passed or cannot be met.
    RateLimited, ///< The rate limit of the caller or of the service is exceeded.
    NoUpstream, ///< No live upstream accepts requests.
    RetriesExhausted, ///< The retry budget is used up or the maximum number of attempts is reached.
    AnswerLost, ///< The answer of a non-repeatable request was lost.
    CrashesUpstreams, ///< The same content crashed several upstreams.
    Draining, ///< This node is shutting down.
    StoreUnavailable, ///< The request needs a record, and the platform's store does not answer.
    CancelledByCaller,
    VersionUnknown, ///< Nobody knows which software version began the stream that the request takes up.
    VersionGone, ///< No upstream of the version that began the stream is left; the stream has to begin anew.
    VersionUnread, ///< This node has read no upstream of the version that began the stream; another node may have.
    KeyUnproven, ///< The key of the request may have been taken away.
};

/// The reason's name in logs, metrics and error bodies, for example "deadline_unreachable".
[[nodiscard]] std::string_view toString(end_reason reason);

/// The disposition's name in logs, metrics and error bodies, for example "not_run".
[[nodiscard]] std::string_view toString(disposition value);

/// The final result of a request at a dispatcher.
struct final_result
{
    disposition what = disposition::Completed;
    end_reason reason = end_reason::None;
    std::optional<duration> retryAfter; ///< Delay after which the caller may retry; none if a retry cannot help.

    auto operator<=>(const final_result &) const = default;
};

} // namespace banyan
