#include "banyan/core/serving/retry_policy.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr std::uint32_t maximumNotRun = 4; ///< Attempts that did not run; more say that there is no place to be had.
constexpr duration shortestAttempt = std::chrono::milliseconds(20); ///< With less time left no attempt can be of use.
constexpr int gapShareNumerator = 3; ///< Of the gap target until a silent stream is continued elsewhere: 3/4, so that
constexpr int gapShareDenominator = 4; ///< the first event of the next run can come within the target.
constexpr duration longestSilence = std::chrono::seconds(2); ///< Of a stream without a gap target.

bool certainlyNotRun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::NotSent || outcome == attempt_outcome::Refused;
}

} // namespace

retry_policy::retry_policy(const route &from, time_point deadline)
    : m_repeatable(from.isRepeatable())
    , m_stream(from.kind == request_kind::Stream)
    , m_maximumRuns(std::max(1U, from.maximumAttempts))
    , m_target(m_stream ? from.gapTarget : from.target)
    , m_deadline(deadline)
{
}

bool retry_policy::mayFollow(time_point now) const
{
    const bool runsLeft = m_repeatable ? m_runs < m_maximumRuns : m_runs == 0;
    return runsLeft && m_notRun < maximumNotRun && now + shortestAttempt < m_deadline;
}

next_step retry_policy::ended(attempt_outcome outcome, time_point now)
{
    if (certainlyNotRun(outcome)) {
        ++m_notRun;
    } else {
        ++m_runs;
    }
    if (mayFollow(now)) {
        return next_step::TryAgain;
    }
    return m_runs > 0 ? next_step::Unknown : next_step::NotRun;
}

duration retry_policy::firstByteTimeout(duration overdueAfter, time_point now) const
{
    const duration left = std::max(shortestAttempt, m_deadline - now);
    const bool anotherCouldFollow = m_repeatable && m_runs + 1 < m_maximumRuns;
    return anotherCouldFollow ? std::min(left, std::max(overdueAfter, shortestAttempt)) : left;
}

duration retry_policy::silenceTimeout(time_point now) const
{
    const duration left = std::max(shortestAttempt, m_deadline - now);
    if (!m_repeatable || m_runs + 1 >= m_maximumRuns) {
        return left;
    }
    const duration silence = m_target > duration(0) ? m_target * gapShareNumerator / gapShareDenominator : longestSilence;
    return std::min(left, silence);
}

} // namespace banyan
