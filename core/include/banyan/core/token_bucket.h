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

    /// A bucket without tokens at @p now. The rate may be 0.
    [[nodiscard]] static token_bucket startingEmpty(double ratePerSecond, double burst, time_point now)
    {
        token_bucket bucket(ratePerSecond, burst);
        bucket.m_tokens = 0;
        bucket.m_refilled = now;
        return bucket;
    }

    /// Changes the rate from @p now on.
    void setRate(double ratePerSecond, time_point now)
    {
        refill(now);
        m_rate = ratePerSecond;
    }

    /// Changes the rate and the burst from @p now on. Tokens beyond the burst are dropped.
    void setRate(double ratePerSecond, double burst, time_point now)
    {
        setRate(ratePerSecond, now);
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    [[nodiscard]] double rate() const
    {
        return m_rate;
    }

    [[nodiscard]] double burst() const
    {
        return m_burst;
    }

    /// Number of tokens at @p now.
    [[nodiscard]] double available(time_point now) const
    {
        token_bucket copy = *this;
        copy.refill(now);
        return copy.m_tokens;
    }

    /// When there are so many tokens; time_point::max() if never.
    [[nodiscard]] time_point whenAvailable(double tokens) const
    {
        constexpr double longestWait = 1e6; // Seconds.
        const double missing = std::max(0.0, tokens - m_tokens);
        if (tokens > m_burst || missing > m_rate * longestWait) {
            return time_point::max();
        }
        const double seconds = missing > 0 ? missing / m_rate : 0;
        return m_refilled + std::chrono::ceil<duration>(std::chrono::duration<double>(seconds));
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

    /// Takes so many tokens even if there are fewer; the next ones then come later.
    void spend(time_point now, double tokens = 1)
    {
        refill(now);
        m_tokens -= tokens;
    }

    /// When the next token becomes available; not after @p now if one is available.
    [[nodiscard]] time_point nextToken(time_point now) const
    {
        return m_tokens >= 1 ? now : whenAvailable(1);
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
