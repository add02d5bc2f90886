#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <vector>

namespace banyan {

/// Decides whether the upstreams of a service differ so much in speed that it matters where a run is placed.
class speed_comparison
{
public:
    /// Whether the last comparison is old enough for the next one.
    [[nodiscard]] bool isDue(time_point now) const;

    /// Compares the usual factors of the upstreams whose speed is known; @p settled if all of them are.
    void update(std::vector<double> factors, bool settled, time_point now);

    /// Whether the upstreams differ. Once they do, a smaller difference suffices, so that the answer does not alternate.
    [[nodiscard]] bool areUneven() const
    {
        return m_uneven;
    }

    /// The slowest tenth's factor over the fastest tenth's; 1 while too few are known.
    [[nodiscard]] double spread() const
    {
        return m_spread;
    }

    /// The geometric mean of the compared factors.
    [[nodiscard]] double mean() const
    {
        return m_mean;
    }

private:
    [[nodiscard]] double neededSpread(bool doubtful) const;

    bool m_uneven = false;
    std::uint32_t m_unevenInRow = 0; ///< Comparisons that found a difference.
    double m_spread = 1;
    double m_mean = 1;
    time_point m_updatedAt;
};

} // namespace banyan
