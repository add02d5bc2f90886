#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/serving/route.h"
#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// What to do with a request after an attempt that did not answer it.
enum class next_step {
    TryAgain, ///< Retry at another upstream; a stream continues after its last event.
    NotRun, ///< End the request: it is certain that no upstream has run it.
    Unknown, ///< End the request: it may have run.
};

/// Counts the attempts of one request and decides whether another may follow.
///
/// A request that is not repeatable is retried only while it is certain that no upstream has run it. Attempts that certainly
/// did not run do not count against the route's limit, but have a limit of their own.
class retry_policy
{
public:
    /// The answer has to be complete at @p deadline.
    retry_policy(const route &requestRoute, time_point deadline);

    /// Records the end of an attempt that gave no answer for the caller, and returns what to do next.
    [[nodiscard]] next_step recordAttemptEnd(attempt_outcome outcome, time_point now);

    /// Maximum time to the first byte of an attempt that begins now: the time to the deadline or, if another attempt could
    /// follow, at most @p overdueAfter, after which an answer of the service counts as overdue.
    [[nodiscard]] duration firstByteTimeout(duration overdueAfter, time_point now) const;

    /// Maximum time to the next byte of a stream that has begun, before it is continued at another upstream.
    [[nodiscard]] duration nextByteTimeout(time_point now) const;

    /// Whether another attempt could follow one that begins now and may have run.
    [[nodiscard]] bool mayFollow() const
    {
        return m_repeatable && m_runs + 1 < m_maximumRuns;
    }

    /// Whether any attempt may have run.
    [[nodiscard]] bool mayHaveRun() const
    {
        return m_runs > 0;
    }

    /// Number of attempts that have ended.
    [[nodiscard]] std::uint32_t attempts() const
    {
        return m_runs + m_notRun;
    }

private:
    [[nodiscard]] bool canRetry(time_point now) const;

    bool m_repeatable;
    bool m_stream;
    std::uint32_t m_maximumRuns;
    duration m_target;
    time_point m_deadline;
    std::uint32_t m_runs = 0; ///< Attempts that may have run.
    std::uint32_t m_notRun = 0; ///< Attempts that certainly did not run.
};

} // namespace banyan
