#pragma once

#include <compare>

namespace banyan {

/// How often a node may start runs at an upstream that limits its rate.
///
/// The platform tolerates that an upstream gets half as many requests again as its limit and five more in any four seconds. Work
/// that would be rejected otherwise may use this tolerance; all other work keeps to the limit itself.
struct allowed_rate
{
    double perSecond = 0; ///< This node's part of the limit.
    double toleratedPerSecond = 0; ///< This node's part of what is tolerated.
    double toleratedBurst = 0; ///< Runs that may be started at once after an idle time; none may be started if it is below 1.

    auto operator<=>(const allowed_rate &) const = default;
};

/// What a node that holds @p share of an upstream's limit may start there. The sum over all nodes stays below what is tolerated by
/// a fifth of the limit and a request in any four seconds.
[[nodiscard]] inline allowed_rate allowedRateOf(double limitPerSecond, double share)
{
    constexpr double toleratedRate = 1.4; // Of the limit, of 1.5.
    constexpr double burstSeconds = 0.2; // Of the limit; four seconds at the rate above leave 0.4.
    constexpr double burstRequests = 4; // Of 5.
    return {.perSecond = share * limitPerSecond,
            .toleratedPerSecond = share * limitPerSecond * toleratedRate,
            .toleratedBurst = share * (limitPerSecond * burstSeconds + burstRequests)};
}

} // namespace banyan
