#pragma once

#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// Learns the speed of an upstream from the times of its runs, as a factor: the time that work takes here over the time that
/// it takes at an average upstream.
///
/// Two means of the factor's logarithm tell a slow machine from a moment's slowness. The usual factor follows over some ten
/// seconds and limits the influence of each measurement, so that short disturbances hardly move it. The current factor
/// follows within a few first bytes and returns to the usual one when no more are measured.
class upstream_speed
{
public:
    /// Records a time to the first byte over its expectation at an average upstream.
    void recordFirstByte(double factor, time_point now);

    /// Records a run time over its expectation at an average upstream.
    void recordRun(double factor, time_point now);

    /// The factor apart from disturbances; 1 before the first measurement.
    [[nodiscard]] double usualFactor() const
    {
        return m_usualFactor;
    }

    /// The factor at @p now.
    [[nodiscard]] double currentFactor(time_point now) const;

    /// Whether the upstream has been measured for long enough, and often enough lately, to be compared with others.
    [[nodiscard]] bool isKnown(time_point now) const;

    /// Whether it has been measured over so many disturbances that they hardly change its usual factor.
    [[nodiscard]] bool isSettled(time_point now) const;

    /// Divides all factors by @p factor, when the average upstream of the service has changed.
    void rebase(double factor);

private:
    void updateUsual(double logarithm, time_point now);

    double m_usual = 0; ///< Logarithm of the usual factor.
    double m_usualFactor = 1;
    double m_recent = 0; ///< Logarithm of the factor of the latest first bytes.
    std::uint32_t m_count = 0;
    double m_lately = 0; ///< Measurements, forgotten with the time constant of the usual factor.
    time_point m_firstAt;
    time_point m_usualAt;
    time_point m_recentAt;
};

} // namespace banyan
