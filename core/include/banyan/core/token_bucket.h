#pragma once

#include "banyan/core/time.h"

#include <algorithm>

namespace banyan {

/// A token bucket: limits a rate while it allows short bursts.
class token_bucket
{
public:
    /// Starts full. @p ratePerSecond must be above 0, @p burst at least 1.
    token_bucket(double ratePerSecond, double burst)
        : m_rate(ratePerSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Changes the rate from @p now on.
    void setRate(double ratePerSecond, time_point now)
    {
        refill(now);
        m_rate = ratePerSecond;
    }

    /// Takes a token if one is available; returns whether it did.
    [[nodiscard]] bool take(time_point now)
    {
        refill(now);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /// When the next token becomes available; not after @p now if one is available.
    [[nodiscard]] time_point nextToken(time_point now) const
    {
        if (m_tokens >= 1) {
            return now;
        }
        const double missing = (1 - m_tokens) / m_rate;
        return m_refilled + std::chrono::ceil<duration>(std::chrono::duration<double>(missing));
    }

private:
    void refill(time_point now)
    {
        if (now <= m_refilled) {
            return;
        }
        const double seconds = std::chrono::duration<double>(now - m_refilled).count();
        m_tokens = std::min(m_burst, m_tokens + seconds * m_rate);
        m_refilled = now;
    }

    double m_rate;
    double m_burst;
    double m_tokens;
    time_point m_refilled{};
};

} // namespace banyan
