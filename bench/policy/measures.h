#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace banyan::bench {

/// What to measure.
struct measure_options
{
    std::string measure = "all"; ///< "harm", "stragglers", "slow", "loss", "topology" or "all".
    std::string policy = "all"; ///< "banyan", "round-robin", "least-in-flight" or "all".
    std::uint64_t seed = 1;
    std::size_t nodes = 13; ///< Entry nodes of the topology measure.
};

/// Runs the measures and prints each figure with its target and whether it is met.
void runMeasures(const measure_options &options, std::ostream &out);

} // namespace banyan::bench
