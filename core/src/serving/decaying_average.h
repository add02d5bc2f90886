#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace banyan {

/// Average of a series that begins as an arithmetic mean and then forgets old values exponentially.
class decaying_average
{
public:
    /// Records a value; after @p memory values each further one has the weight 1 / @p memory.
    void add(double value, std::uint32_t memory)
    {
        m_count += m_count < std::numeric_limits<std::uint32_t>::max() ? 1 : 0;
        m_value += (value - m_value) / std::min(m_count, memory);
    }

    /// The average, drawn towards @p prior as if that had been recorded @p priorCount times.
    [[nodiscard]] double towards(double prior, double priorCount) const
    {
        return (m_value * m_count + prior * priorCount) / (m_count + priorCount);
    }

    [[nodiscard]] double value() const
    {
        return m_value;
    }

private:
    double m_value = 0;
    std::uint32_t m_count = 0; ///< Of all values.
};

} // namespace banyan
