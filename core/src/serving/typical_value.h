#pragma once

#include <cstdint>

namespace banyan {

/// Bound on the influence of a measurement on a typical value, as a logarithm: what lies farther off counts as if it lay there.
inline constexpr double largestDeviation = 0.3;

/// The typical value of a series of positive numbers: follows its logarithms with a bounded step, so that neither rare large
/// values nor the skewness of the series moves it far.
class typical_value
{
public:
    void add(double value);

    /// The typical value; meaningless without measurements.
    [[nodiscard]] double value() const;

    [[nodiscard]] std::uint32_t count() const
    {
        return m_count;
    }

private:
    double m_logarithm = 0;
    std::uint32_t m_count = 0;
};

} // namespace banyan
