#include "banyan/core/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr double tokenTolerance = 1e-9; ///< A token is there if only rounding is missing.
constexpr duration longestRetryAfter = std::chrono::hours(1);

} // namespace

rate_limiter::rate_limiter(const rate_limiter_options &options)
    : m_options(options)
    , m_tokens(options.burst)
{
}

void rate_limiter::setOptions(const rate_limiter_options &options)
{
    m_options = options;
    m_tokens = std::min(m_tokens, options.burst);
}

void rate_limiter::fill(time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_filledAt.value_or(now)).count();
    m_tokens = std::min(m_options.burst, m_tokens + std::max(0.0, elapsed) * m_options.perSecond);
    m_filledAt = now;
}

std::optional<duration> rate_limiter::admit(time_point now)
{
    fill(now);
    if (m_tokens >= 1 - tokenTolerance) {
        m_tokens = std::max(0.0, m_tokens - 1);
        return std::nullopt;
    }
    if (m_options.perSecond <= 0) {
        return longestRetryAfter;
    }
    const double missing = (1 - m_tokens) / m_options.perSecond;
    const auto wait = duration(static_cast<duration::rep>(std::ceil(missing * microsecondsPerSecond)));
    return std::min(wait, longestRetryAfter);
}

} // namespace banyan
