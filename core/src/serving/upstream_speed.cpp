#include "upstream_speed.h"

#include "../seconds.h"
#include "typical_value.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr double usualSeconds = 10; ///< Time constant of the usual factor.
constexpr duration learningTime = std::chrono::seconds(4); ///< Longer than most disturbances.
constexpr double recentSeconds = 0.3; ///< Time constant of the current factor, less than a disturbance lasts.
constexpr double recentLargestWeight = 0.5; ///< A single first byte does not decide the current factor.
constexpr double returnSeconds = 0.5; ///< Time constant with which the current factor returns to the usual one without measurements.
constexpr double longestDisturbance = 5; ///< In seconds without a first byte, after which nothing is left of the difference.
constexpr double largestFactor = 16;
constexpr std::uint32_t priorMeasurements = 2; ///< Weight of the assumption that a new upstream is an average one.
constexpr std::uint32_t unboundedMeasurements = 16; ///< The first ones may move it freely.
constexpr double neededMeasurements = 24; ///< Within about the time constant of the usual factor.

double logarithmOf(double factor)
{
    return std::log(std::clamp(factor, 1 / largestFactor, largestFactor));
}

double weightAfter(duration elapsed, double timeConstant)
{
    return 1 - std::exp(-toSeconds(elapsed) / timeConstant);
}

} // namespace

void upstream_speed::updateUsual(double logarithm, time_point now)
{
    m_firstAt = m_count == 0 ? now : m_firstAt;
    ++m_count;
    m_lately = 1 + m_lately * (1 - weightAfter(now - m_usualAt, usualSeconds));
    const double byCount = 1.0 / (m_count + priorMeasurements);
    const double weight = std::min(std::max(byCount, weightAfter(now - m_usualAt, usualSeconds)), 1.0 / priorMeasurements);
    const double bound = m_count < unboundedMeasurements ? logarithmOf(largestFactor) : largestDeviation;
    m_usual += weight * std::clamp(logarithm - m_usual, -bound, bound);
    m_usualFactor = std::exp(m_usual);
    m_usualAt = now;
}

void upstream_speed::recordFirstByte(double factor, time_point now)
{
    const double logarithm = logarithmOf(factor);
    const double before = std::log(currentFactor(now));
    const double weight = std::clamp(weightAfter(now - m_recentAt, recentSeconds), 0.1, recentLargestWeight);
    m_recent = before + weight * (logarithm - before);
    m_recentAt = now;
    updateUsual(logarithm, now);
}

void upstream_speed::recordRun(double factor, time_point now)
{
    updateUsual(logarithmOf(factor), now);
}

double upstream_speed::currentFactor(time_point now) const
{
    const double elapsed = toSeconds(now - m_recentAt);
    if (elapsed >= longestDisturbance) {
        return m_usualFactor;
    }
    return m_usualFactor * std::exp((m_recent - m_usual) * std::exp(-elapsed / returnSeconds));
}

bool upstream_speed::isKnown(time_point now) const
{
    return now - m_firstAt >= learningTime && m_lately * (1 - weightAfter(now - m_usualAt, usualSeconds)) >= neededMeasurements;
}

bool upstream_speed::isSettled(time_point now) const
{
    return now - m_firstAt >= fromSeconds(usualSeconds);
}

void upstream_speed::rebase(double factor)
{
    const double logarithm = logarithmOf(factor);
    m_usual -= logarithm;
    m_recent -= logarithm;
    m_usualFactor = std::exp(m_usual);
}

} // namespace banyan
