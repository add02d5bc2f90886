#include "concurrency_limit.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double fastGrowth = 1.3; ///< Factor of a window below what the limit was before.
constexpr double slowGrowth = 1.04; ///< Factor of a window afterwards; at least one slot.
constexpr double strongestShrink = 0.75; ///< Factor of a window at most.
constexpr double usedShare = 0.8; ///< The limit grows only if this share of it was used.
constexpr double uncontendedShare = 0.25; ///< Windows with less in flight than this share of the limit show the baseline.
constexpr double baselineStep = 0.2; ///< Weight of a window that raises the baseline.
constexpr double recoveredShare = 0.8;
constexpr double refusalShrink = 0.9;

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

concurrency_limit::concurrency_limit(const concurrency_limit_options &options)
    : m_options(options)
    , m_limit(options.initial)
    , m_fastUntil(options.maximum)
{
    m_options.minimum = std::min(options.minimum, options.maximum);
}

void concurrency_limit::paceObserved(double seconds, std::uint32_t inFlight, time_point now)
{
    if (seconds <= 0) {
        return;
    }
    if (m_paces.empty()) {
        m_windowStart = now;
    }
    m_paces.push_back(seconds);
    m_inFlightSum += inFlight;
    if (now - m_windowStart >= m_options.window && m_paces.size() >= m_options.minimumSamples) {
        closeWindow();
    }
}

void concurrency_limit::refused(std::uint32_t inFlight)
{
    const double reached = std::min<double>(m_limit, inFlight);
    shrink(reached * refusalShrink / m_limit);
}

void concurrency_limit::closeWindow()
{
    const double inFlight = m_inFlightSum / static_cast<double>(m_paces.size());
    const double pace = medianOf(m_paces);
    m_paces.clear();
    m_inFlightSum = 0;
    moveBaseline(pace, inFlight);
    adapt(pace, inFlight);
}

void concurrency_limit::moveBaseline(double pace, double inFlight)
{
    const bool uncontended = inFlight <= std::max<double>(m_options.minimum, m_limit * uncontendedShare);
    if (m_baseline <= 0 || pace < m_baseline) {
        m_baseline = pace;
    } else if (uncontended) {
        m_baseline += baselineStep * (pace - m_baseline);
    }
}

/// The first shrinking after a time of growth sets up to where the limit may grow fast again: a slow moment of the engine
/// must not cost a slow climb afterwards.
void concurrency_limit::shrink(double factor)
{
    if (!m_exceeding) {
        m_fastUntil = m_limit * recoveredShare;
    }
    m_exceeding = true;
    m_limit = std::max<double>(m_options.minimum, m_limit * factor);
}

void concurrency_limit::adapt(double pace, double inFlight)
{
    const double ratio = pace / m_baseline;
    const double tolerance = inFlight > m_limit ? m_options.overcommittedTolerance : m_options.tolerance;
    if (ratio > tolerance) {
        shrink(std::max(strongestShrink, tolerance / ratio));
        return;
    }
    m_exceeding = false;
    if (inFlight >= m_limit * usedShare) {
        const double fast = std::min(m_limit * fastGrowth, m_fastUntil);
        const double slow = std::max(m_limit * slowGrowth, m_limit + 1);
        m_limit = std::min<double>(std::max(fast, slow), m_options.maximum);
    }
}

} // namespace banyan
