#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/serving/route.h"
#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// What happens to a request after an attempt that did not answer it.
enum class next_step {
    TryAgain, ///< At another upstream; a stream continues after its last event.
    NotRun, ///< Ends: no upstream has run it, for sure.
    Unknown, ///< Ends: it may have run.
};

/// The attempts of one request, and whether there may be another.
///
/// A request that is not repeatable is tried again only while it is certain that nothing has run it. Attempts that
/// certainly did not run do not count against the route's limit, but are limited themselves.
class retry_policy
{
public:
    /// @p deadline is when the answer has to be complete.
    retry_policy(const route &requestRoute, time_point deadline);

    /// Takes in the end of an attempt, without an answer for the caller.
    [[nodiscard]] next_step recordAttemptEnd(attempt_outcome outcome, time_point now);

    /// How long an attempt that begins now may be without a first byte, when @p overdueAfter is usual for its service:
    /// the rest of the time, unless another attempt could follow.
    [[nodiscard]] duration firstByteTimeout(duration overdueAfter, time_point now) const;

    /// How long a stream that has begun may be without a next byte before it is continued elsewhere.
    [[nodiscard]] duration nextByteTimeout(time_point now) const;

    /// Whether any attempt may have run.
    [[nodiscard]] bool mayHaveRun() const
    {
        return m_runs > 0;
    }

    /// Attempts that have ended.
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
    std::uint32_t m_runs = 0; ///< That may have run.
    std::uint32_t m_notRun = 0;
};

} // namespace banyan
