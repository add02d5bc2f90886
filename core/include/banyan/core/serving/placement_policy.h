#pragma once

#include <cstdint>
#include <string_view>

namespace banyan {

/// By what the upstream of a run is chosen among those that may run it.
enum class placement_policy : std::uint8_t {
    Automatic, ///< ExpectedCost for services whose upstreams differ in speed, LeastRuns for all others.
    ExpectedCost, ///< The expected time to the first byte and to the end of the run.
    LeastRuns, ///< The number of runs in flight over the number of slots.
};

/// The policy's name in settings, for example "expected_cost".
[[nodiscard]] std::string_view toString(placement_policy value);

} // namespace banyan
