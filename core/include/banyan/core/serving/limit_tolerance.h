#pragma once

#include "banyan/core/serving/organisation.h"
#include "banyan/core/time.h"

#include <compare>

namespace banyan {

/// How far the requests of an organisation may exceed its limit. In any window upstreams may run
/// (requestsPerSecond x window + burst) x (1 + overage) + slack of them, over all nodes together.
struct limit_tolerance
{
    duration window = std::chrono::seconds(5);
    double overage = 0; ///< Part of the limit.
    double slack = 0; ///< Number of requests.

    auto operator<=>(const limit_tolerance &) const = default;
};

/// The token bucket from which all nodes together admit the requests of an organisation.
struct pooled_rate
{
    double perSecond = 0;
    double burst = 0;

    auto operator<=>(const pooled_rate &) const = default;
};

/// For how long a credit may be used after it was asked for. The credits that are out when a window begins are admitted in it.
[[nodiscard]] duration creditTimeOf(const limit_tolerance &tolerance);

/// The bucket whose credits, with the time for which they may be used, give a window just what is tolerated.
[[nodiscard]] pooled_rate pooledRateOf(const organisation &limited, const limit_tolerance &tolerance);

} // namespace banyan
