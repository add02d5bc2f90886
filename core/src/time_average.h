#pragma once

#include "banyan/core/time.h"

namespace banyan {

/// Exponentially weighted moving average over time of a piecewise constant value.
class time_average
{
public:
    explicit time_average(duration timeConstant);

    /// Sets the value to @p value from @p now on.
    void setValue(double value, time_point now);

    /// The average at @p now.
    [[nodiscard]] double at(time_point now) const;

private:
    duration m_timeConstant;
    double m_average = 0;
    double m_value = 0;
    time_point m_changedAt;
};

} // namespace banyan
