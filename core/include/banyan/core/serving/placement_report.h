#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <utility>
#include <vector>

namespace banyan {

/// What a node has learned about the upstreams of a service, and how well it predicts their answers.
struct placement_report
{
    service_name service;
    bool byCost = false; ///< Whether runs are placed by expected cost.
    double speedSpread = 1; ///< The slowest tenth's time factor over the fastest tenth's.
    duration expectedFirstByte{}; ///< Mean of the runs whose first byte was measured last.
    duration measuredFirstByte{}; ///< Of the same runs.
    duration firstByteError{}; ///< Mean absolute difference of the two.
    std::vector<std::pair<upstream_id, double>>
        speeds; ///< Time that work takes at an upstream over the time at an average one, of the upstreams that this node
    ///< has measured; the fastest first.

    auto operator<=>(const placement_report &) const = default;
};

} // namespace banyan
