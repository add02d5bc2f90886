#pragma once

#include "banyan/core/time.h"

#include <optional>

namespace banyan {

/// Options of a rate_limiter.
struct rate_limiter_options
{
    double perSecond = 1; ///< Requests a second in the long run; 0 refuses all.
    double burst = 1; ///< Requests that may come at once after a pause.
};

/// A token bucket for the requests of one caller or to one service.
///
/// @code
/// rate_limiter limiter({.perSecond = 100, .burst = 100});
/// if (const auto retryAfter = limiter.admit(now)) {
///     refuse(*retryAfter);
/// }
/// @endcode
class rate_limiter
{
public:
    explicit rate_limiter(const rate_limiter_options &options);

    /// Takes a token for a request; without one, returns after what time there will be one.
    [[nodiscard]] std::optional<duration> admit(time_point now);

    /// Takes over new options; tokens beyond the new burst are lost.
    void setOptions(const rate_limiter_options &options);

private:
    void fill(time_point now);

    rate_limiter_options m_options;
    double m_tokens;
    std::optional<time_point> m_filledAt;
};

} // namespace banyan
