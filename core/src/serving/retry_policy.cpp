#include "banyan/core/serving/retry_policy.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr std::uint32_t maximumNotRunAttempts = 4; ///< After this many attempts that did not run, no free slot is to be expected.
constexpr duration minimumAttemptTime = std::chrono::milliseconds(20); ///< With less time left, an attempt cannot succeed.
constexpr int gapShareNumerator = 3; ///< A stalled stream is continued at another upstream after 3/4 of the gap target,
constexpr int gapShareDenominator = 4; ///< so that the first event of the next run can arrive within the target.
constexpr duration defaultNextByteTimeout = std::chrono::seconds(2); ///< For streams without a gap target.

bool certainlyNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::NotSent || outcome == attempt_outcome::Refused;
}

} // namespace

retry_policy::retry_policy(const route &requestRoute, time_point deadline)
    : m_repeatable(requestRoute.isRepeatable())
    , m_stream(requestRoute.kind == request_kind::Stream)
    , m_maximumRuns(std::max(1U, requestRoute.maximumAttempts))
    , m_target(m_stream ? requestRoute.gapTarget : requestRoute.target)
    , m_deadline(deadline)
{
}

bool retry_policy::canRetry(time_point now) const
{
    const bool runsLeft = m_repeatable ? m_runs < m_maximumRuns : m_runs == 0;
    return runsLeft && m_notRun < maximumNotRunAttempts && now + minimumAttemptTime < m_deadline;
}

next_step retry_policy::recordAttemptEnd(attempt_outcome outcome, time_point now)
{
    if (certainlyNotRun(outcome)) {
        ++m_notRun;
    } else {
        ++m_runs;
    }
    if (canRetry(now)) {
        return next_step::TryAgain;
    }
    return m_runs > 0 ? next_step::Unknown : next_step::NotRun;
}

duration retry_policy::firstByteTimeout(duration overdueAfter, time_point now) const
{
    const duration remaining = std::max(minimumAttemptTime, m_deadline - now);
    return mayFollow() ? std::min(remaining, std::max(overdueAfter, minimumAttemptTime)) : remaining;
}

duration retry_policy::nextByteTimeout(time_point now) const
{
    const duration remaining = std::max(minimumAttemptTime, m_deadline - now);
    if (!mayFollow()) {
        return remaining;
    }
    const duration nextByteLimit = m_target > duration(0) ? m_target * gapShareNumerator / gapShareDenominator : defaultNextByteTimeout;
    return std::min(remaining, nextByteLimit);
}

} // namespace banyan
