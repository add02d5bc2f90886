#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/key_digest.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyan {

/// An organisation whose callers identify themselves by keys.
struct organisation
{
    caller_id name;
    std::vector<key_digest> keys;
    std::optional<std::uint32_t> priority; ///< Replaces the priority of the routes; 0 is the most urgent.
    double requestsPerSecond = 0; ///< Limit over all nodes together; 0 for no limit.
    double burst = 0; ///< Number of requests beyond the rate.

    auto operator<=>(const organisation &) const = default;
};

} // namespace banyan
