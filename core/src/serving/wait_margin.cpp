#include "wait_margin.h"

#include "../seconds.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr double secondsPerExpiry = 0.004;
constexpr double longestMargin = 0.2; ///< Seconds.
constexpr duration halfLife = std::chrono::milliseconds(500); ///< Shorter than most bursts, longer than a wait.

} // namespace

void wait_margin::expired(time_point now)
{
    m_seconds = std::min(longestMargin, toSeconds(at(now)) + secondsPerExpiry);
    m_changedAt = now;
}

duration wait_margin::at(time_point now) const
{
    return fromSeconds(m_seconds * std::exp2(-toSeconds(now - m_changedAt) / toSeconds(halfLife)));
}

} // namespace banyan
