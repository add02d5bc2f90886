#pragma once

#include "banyan/core/time.h"
#include "sliding_quantile.h"

#include <cstdint>
#include <optional>

namespace banyan {

/// Classifies the requests of a work class as long if their expected tokens or their run time are far above the median.
class work_length_estimator
{
public:
    /// Records the expected tokens of a new request.
    void recordExpectedTokens(std::uint32_t tokens);

    /// Records the run time of a successful attempt.
    void recordRunTime(duration value);

    /// Whether a request that expects @p tokens is long.
    [[nodiscard]] bool isLong(std::uint32_t tokens) const;

    /// The run time above which an attempt counts as long regardless of its expected tokens; none while there are too few samples.
    [[nodiscard]] std::optional<duration> longRunTime() const;

    /// The median run time; zero without samples.
    [[nodiscard]] duration medianRunTime() const;

private:
    static constexpr std::size_t sampleCapacity = 128;

    sliding_quantile m_expected{sampleCapacity};
    sliding_quantile m_runTimes{sampleCapacity};
    double m_medianExpectedTokens = 0;
    double m_medianRunTime = 0;
    std::uint32_t m_expectedSinceUpdate = 0;
    std::uint32_t m_runTimesSinceUpdate = 0;
};

} // namespace banyan
