#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// Expected remaining time of the runs at an upstream, summed over them and corrected by the time that has passed.
///
/// Each run counts down its expected time; one that has outlasted it keeps a share, since how long it still takes is unknown.
/// All operations take constant time.
class outstanding_work
{
public:
    /// Adds @p runs that are expected to take @p seconds altogether from @p at on.
    void add(std::uint32_t runs, double seconds, time_point at);

    /// Removes what add() has added with the same arguments.
    void remove(std::uint32_t runs, double seconds, time_point at);

    /// The expected remaining seconds, summed over the runs.
    [[nodiscard]] double remainingSeconds(time_point now) const;

    [[nodiscard]] std::uint32_t runs() const
    {
        return m_runs;
    }

    auto operator<=>(const outstanding_work &) const = default;

private:
    std::uint32_t m_runs = 0;
    double m_seconds = 0; ///< Sum of the expected times.
    double m_ends = 0; ///< Sum of the expected ends, in seconds since the clock's epoch.
};

} // namespace banyan
