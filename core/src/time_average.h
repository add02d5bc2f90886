#pragma once

#include "banyan/core/time.h"

namespace banyan {

/// The exponentially weighted average over time of a value that changes in steps.
class time_average
{
public:
    explicit time_average(duration timeConstant);

    /// The value is @p value from @p now on.
    void setValue(double value, time_point now);

    [[nodiscard]] double at(time_point now) const;

private:
    duration m_timeConstant;
    double m_average = 0;
    double m_value = 0;
    time_point m_changedAt;
};

} // namespace banyan
