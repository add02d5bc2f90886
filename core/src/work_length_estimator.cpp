#include "work_length_estimator.h"

namespace banyan {

namespace {

constexpr double longFactor = 4; ///< A request is long above this multiple of the median.
constexpr std::size_t minimumSamples = 16;
constexpr std::uint32_t updateEvery = 8; ///< Samples between two updates of a median.
constexpr double medianQuantile = 0.5;

} // namespace

void work_length_estimator::recordExpectedTokens(std::uint32_t tokens)
{
    m_expected.add(tokens);
    if (++m_expectedSinceUpdate >= updateEvery || m_expected.count() <= minimumSamples) {
        m_expectedSinceUpdate = 0;
        m_medianExpectedTokens = m_expected.quantile(medianQuantile);
    }
}

void work_length_estimator::recordRunTime(duration value)
{
    m_runTimes.add(static_cast<double>(value.count()));
    if (++m_runTimesSinceUpdate >= updateEvery || m_runTimes.count() <= minimumSamples) {
        m_runTimesSinceUpdate = 0;
        m_medianRunTime = m_runTimes.quantile(medianQuantile);
    }
}

bool work_length_estimator::isLong(std::uint32_t tokens) const
{
    return m_expected.count() >= minimumSamples && tokens > longFactor * m_medianExpectedTokens;
}

std::optional<duration> work_length_estimator::longRunTime() const
{
    if (m_runTimes.count() < minimumSamples) {
        return std::nullopt;
    }
    return duration(static_cast<std::int64_t>(longFactor * m_medianRunTime));
}

duration work_length_estimator::medianRunTime() const
{
    return duration(static_cast<std::int64_t>(m_medianRunTime));
}

} // namespace banyan
