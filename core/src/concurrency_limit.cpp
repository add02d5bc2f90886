#include "concurrency_limit.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double fastGrowth = 1.3; ///< Factor of a window below what the limit was before.
constexpr double slowGrowth = 1.04; ///< Factor of a window afterwards; at least one slot.
constexpr double strongestShrink = 0.75; ///< Factor of a window at most.
constexpr double usedShare = 0.8; ///< The limit grows only if this share of it was used.
constexpr double uncontendedShare = 0.25; ///< Windows with less in flight than this share of the limit show the baseline.
constexpr double uncontendedRise = 0.2; ///< Weight of a window with little in flight that raises a baseline.
constexpr double tokenFall = 0.5; ///< Weight of a window that lowers the baseline of tokens.
constexpr double wholeAnswerRise = 0.02; ///< Weight of any window that raises the baseline of whole answers.
constexpr double wholeAnswerFall = 0.05; ///< Weight of a window that lowers it.
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

void concurrency_limit::paceObserved(pace_kind kind, double seconds, std::uint32_t inFlight, std::uint32_t reserved, time_point now)
{
    if (seconds <= 0) {
        return;
    }
    pace_series &series = kind == pace_kind::Token ? m_tokens : m_wholeAnswers;
    if (series.window.empty()) {
        series.windowStart = now;
    }
    series.window.push_back(seconds);
    series.inFlightSum += inFlight;
    series.reservedSum += reserved;
    if (now - series.windowStart >= m_options.window && series.window.size() >= m_options.minimumSamples) {
        closeWindow(series);
    }
}

void concurrency_limit::refused(std::uint32_t inFlight)
{
    const double reached = std::min<double>(m_limit, inFlight);
    shrink(reached * refusalShrink / m_limit);
}

void concurrency_limit::closeWindow(pace_series &series)
{
    const double inFlight = series.inFlightSum / static_cast<double>(series.window.size());
    const double reserved = series.reservedSum / static_cast<double>(series.window.size());
    const double pace = medianOf(series.window);
    series.window.clear();
    series.inFlightSum = 0;
    series.reservedSum = 0;
    moveBaseline(series, pace, inFlight);
    adapt(series, pace, inFlight, reserved);
}

void concurrency_limit::moveBaseline(pace_series &series, double pace, double inFlight) const
{
    if (series.baseline <= 0) {
        series.baseline = pace;
        return;
    }
    const bool whole = series.kind == pace_kind::WholeAnswer;
    const bool uncontended = inFlight <= std::max<double>(m_options.minimum, m_limit * uncontendedShare);
    const double contendedRise = whole ? wholeAnswerRise : 0;
    const double rise = uncontended ? uncontendedRise : contendedRise;
    const double fall = whole ? wholeAnswerFall : tokenFall;
    series.baseline += (pace < series.baseline ? fall : rise) * (pace - series.baseline);
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

void concurrency_limit::adapt(const pace_series &series, double pace, double inFlight, double reserved)
{
    const double ratio = pace / series.baseline;
    const double usual = series.kind == pace_kind::Token ? m_options.tolerance : m_options.wholeAnswerTolerance;
    const double tolerance = inFlight > m_limit ? std::max(usual, m_options.overcommittedTolerance) : usual;
    if (ratio > tolerance) {
        shrink(std::max(strongestShrink, tolerance / ratio));
        return;
    }
    m_exceeding = false;
    if (inFlight + reserved >= m_limit * usedShare) {
        const double fast = std::min(m_limit * fastGrowth, m_fastUntil);
        const double slow = std::max(m_limit * slowGrowth, m_limit + 1);
        m_limit = std::min<double>(std::max(fast, slow), m_options.maximum);
    }
}

} // namespace banyan
