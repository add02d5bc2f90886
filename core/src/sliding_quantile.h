#pragma once

#include <cstddef>
#include <vector>

namespace banyan {

/// Quantiles over the most recent values of a series.
class sliding_quantile
{
public:
    /// Keeps the last @p size values.
    explicit sliding_quantile(std::size_t size);

    void add(double value);

    /// Number of values kept.
    [[nodiscard]] std::size_t count() const
    {
        return m_values.size();
    }

    /// The value below which about @p share of the kept values lie; 0 if there are none.
    [[nodiscard]] double quantile(double share) const;

private:
    std::size_t m_size;
    std::size_t m_next = 0;
    std::vector<double> m_values;
};

} // namespace banyan
