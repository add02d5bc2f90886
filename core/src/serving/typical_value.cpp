#include "typical_value.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr std::uint32_t memory = 128; ///< Measurements after which older ones hardly count.
constexpr std::uint32_t unboundedMeasurements = 4; ///< The first ones may move it freely.
constexpr double smallestValue = 1e-6;

} // namespace

void typical_value::add(double value)
{
    const double deviation = std::log(std::max(value, smallestValue)) - m_logarithm;
    m_count = std::min(m_count + 1, memory);
    const bool isBounded = m_count > unboundedMeasurements;
    m_logarithm += (isBounded ? std::clamp(deviation, -largestDeviation, largestDeviation) : deviation) / m_count;
}

double typical_value::value() const
{
    return std::exp(m_logarithm);
}

} // namespace banyan
