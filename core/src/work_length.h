#pragma once

#include "banyan/core/time.h"
#include "sliding_quantile.h"

#include <cstdint>
#include <optional>

namespace banyan {

/// Tells long work of a class from short work: what expects, or has already run for, much more than is typical.
class work_length
{
public:
    /// Takes in what a new request expects.
    void expected(std::uint32_t tokens);

    /// Takes in how long a successful attempt ran.
    void ran(duration value);

    /// Whether a request that expects @p tokens is long.
    [[nodiscard]] bool isLong(std::uint32_t tokens) const;

    /// The run time beyond which an attempt counts as long whatever it had expected; none while too little is known.
    [[nodiscard]] std::optional<duration> longRunTime() const;

    /// A typical run time; zero while nothing is known.
    [[nodiscard]] duration typicalRunTime() const;

private:
    static constexpr std::size_t rememberedRequests = 128;

    sliding_quantile m_expected{rememberedRequests};
    sliding_quantile m_runTimes{rememberedRequests};
    double m_typicalExpected = 0;
    double m_typicalRunTime = 0;
    std::uint32_t m_expectedSinceUpdate = 0;
    std::uint32_t m_ranSinceUpdate = 0;
};

} // namespace banyan
