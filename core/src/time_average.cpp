#include "time_average.h"

#include <cmath>

namespace banyan {

time_average::time_average(duration timeConstant)
    : m_timeConstant(timeConstant)
{
}

void time_average::setValue(double value, time_point now)
{
    m_average = at(now);
    m_value = value;
    m_changedAt = now;
}

double time_average::at(time_point now) const
{
    const double elapsed = static_cast<double>((now - m_changedAt).count());
    const double kept = std::exp(-elapsed / static_cast<double>(m_timeConstant.count()));
    return kept * m_average + (1 - kept) * m_value;
}

} // namespace banyan
