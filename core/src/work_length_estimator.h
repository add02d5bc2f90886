#pragma once

#include "banyan/core/time.h"
#include "sliding_quantile.h"

#include <cstdint>
#include <optional>

namespace banyan {

/// Tells long work of a class from short work: what expects, or has already run for, much more than is typical.
class work_length_estimator
{
public:
    /// Takes in what a new request expects.
    void recordExpectedTokens(std::uint32_t tokens);

    /// Takes in how long a successful attempt ran.
    void recordRunTime(duration value);

    /// Whether a request that expects @p tokens is long.
    [[nodiscard]] bool isLong(std::uint32_t tokens) const;

    /// The run time beyond which an attempt counts as long whatever it had expected; none while too little is known.
    [[nodiscard]] std::optional<duration> longRunTime() const;

    /// A typical run time; zero while nothing is known.
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
