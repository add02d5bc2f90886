#include "concurrency_limit.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double fastGrowthFactor = 1.3; ///< Growth per window below the fast growth ceiling.
constexpr double slowGrowthFactor = 1.04; ///< Growth per window above the ceiling; at least one slot.
constexpr double minimumShrinkFactor = 0.75; ///< Lowest factor applied to the limit per window.
constexpr double usedShare = 0.8; ///< The limit grows only if at least this share of it was used.
constexpr double uncontendedShare = 0.25; ///< A window with at most this share of the limit in flight counts as uncontended.
constexpr double uncontendedRiseWeight = 0.2; ///< Weight of an uncontended window that raises a baseline.
constexpr double tokenFallWeight = 0.5; ///< Weight of a window that lowers the baseline of the time per token.
constexpr double wholeAnswerRiseWeight = 0.02; ///< Weight of a contended window that raises the baseline of whole answers.
constexpr double wholeAnswerFallWeight = 0.05; ///< Weight of a window that lowers the baseline of whole answers.
constexpr double recoveredShare = 0.8; ///< Fast growth after a shrink ends at this share of the limit before it.
constexpr double rejectionShrinkFactor = 0.9; ///< Applied to the requests in flight when one is rejected.

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
    , m_fastGrowthCeiling(options.maximum)
{
    m_options.minimum = std::min(options.minimum, options.maximum);
}

void concurrency_limit::recordServiceTime(service_time_kind kind,
                                          double seconds,
                                          std::uint32_t inFlight,
                                          std::uint32_t reserved,
                                          time_point now)
{
    if (seconds <= 0) {
        return;
    }
    service_time_series &series = kind == service_time_kind::Token ? m_tokens : m_wholeAnswers;
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

void concurrency_limit::recordRejection(std::uint32_t inFlight)
{
    const double reached = std::min<double>(m_limit, inFlight);
    shrink(reached * rejectionShrinkFactor / m_limit);
}

void concurrency_limit::closeWindow(service_time_series &series)
{
    const double inFlight = series.inFlightSum / static_cast<double>(series.window.size());
    const double reserved = series.reservedSum / static_cast<double>(series.window.size());
    const double serviceTime = medianOf(series.window);
    series.window.clear();
    series.inFlightSum = 0;
    series.reservedSum = 0;
    updateBaseline(series, serviceTime, inFlight);
    adapt(series, serviceTime, inFlight, reserved);
}

void concurrency_limit::updateBaseline(service_time_series &series, double serviceTime, double inFlight) const
{
    if (series.baseline <= 0) {
        series.baseline = serviceTime;
        return;
    }
    const bool whole = series.kind == service_time_kind::WholeAnswer;
    const bool uncontended = inFlight <= std::max<double>(m_options.minimum, m_limit * uncontendedShare);
    const double contendedRise = whole ? wholeAnswerRiseWeight : 0;
    const double rise = uncontended ? uncontendedRiseWeight : contendedRise;
    const double fall = whole ? wholeAnswerFallWeight : tokenFallWeight;
    series.baseline += (serviceTime < series.baseline ? fall : rise) * (serviceTime - series.baseline);
}

/// Shrinks the limit. The first shrink after growth sets the ceiling up to which the limit may grow fast again, so that it
/// recovers quickly after the engine was slow for a moment.
void concurrency_limit::shrink(double factor)
{
    if (!m_overTolerance) {
        m_fastGrowthCeiling = m_limit * recoveredShare;
    }
    m_overTolerance = true;
    m_limit = std::max<double>(m_options.minimum, m_limit * factor);
}

void concurrency_limit::adapt(const service_time_series &series, double serviceTime, double inFlight, double reserved)
{
    const double ratio = serviceTime / series.baseline;
    const double baseTolerance = series.kind == service_time_kind::Token ? m_options.tolerance : m_options.wholeAnswerTolerance;
    const double tolerance = inFlight > m_limit ? std::max(baseTolerance, m_options.overcommittedTolerance) : baseTolerance;
    if (ratio > tolerance) {
        shrink(std::max(minimumShrinkFactor, tolerance / ratio));
        return;
    }
    m_overTolerance = false;
    if (inFlight + reserved >= m_limit * usedShare) {
        const double fast = std::min(m_limit * fastGrowthFactor, m_fastGrowthCeiling);
        const double slow = std::max(m_limit * slowGrowthFactor, m_limit + 1);
        m_limit = std::min<double>(std::max(fast, slow), m_options.maximum);
    }
}

} // namespace banyan
