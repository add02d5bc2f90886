#pragma once

#include "work_estimator.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// What a placement knows of an upstream.
struct upstream_prospect
{
    double usualFactor = 1; ///< Time of work here over the time at an average upstream, apart from disturbances.
    double currentFactor = 1; ///< The same at present.
    double remainingSeconds = 0; ///< Expected remaining time of the runs there, summed over them.
    std::uint32_t slots = 1;

    auto operator<=>(const upstream_prospect &) const = default;
};

/// Weight of an upstream's other work. That work does not delay a run that has a slot, but it does so where more runs arrive than were
/// reported, or where an engine slows down when it is full.
inline constexpr double drainWeight = 0.25;

/// What a run would meet at an upstream that has a slot for it, in seconds from now.
struct expected_times
{
    double firstByteSeconds = 0;
    double finishSeconds = 0;
    double drainSeconds = 0; ///< Until the upstream has completed what it has already, if its slots shared that evenly.

    [[nodiscard]] double cost() const
    {
        return firstByteSeconds + finishSeconds + drainWeight * drainSeconds;
    }

    auto operator<=>(const expected_times &) const = default;
};

/// The expected times of @p work at an upstream. A disturbance is expected to last a few tenths of a second.
[[nodiscard]] expected_times expectedTimes(const expected_work &work, const upstream_prospect &upstream);

} // namespace banyan
