#include "work_length.h"

namespace banyan {

namespace {

constexpr double longFactor = 4; ///< Times the median.
constexpr std::size_t minimumSamples = 16;
constexpr std::uint32_t updateEvery = 8; ///< Samples between two computations of the medians.
constexpr double middle = 0.5;

} // namespace

void work_length::expected(std::uint32_t tokens)
{
    m_expected.add(tokens);
    if (++m_expectedSinceUpdate >= updateEvery || m_expected.count() <= minimumSamples) {
        m_expectedSinceUpdate = 0;
        m_typicalExpected = m_expected.quantile(middle);
    }
}

void work_length::ran(duration value)
{
    m_runTimes.add(static_cast<double>(value.count()));
    if (++m_ranSinceUpdate >= updateEvery || m_runTimes.count() <= minimumSamples) {
        m_ranSinceUpdate = 0;
        m_typicalRunTime = m_runTimes.quantile(middle);
    }
}

bool work_length::isLong(std::uint32_t tokens) const
{
    return m_expected.count() >= minimumSamples && tokens > longFactor * m_typicalExpected;
}

std::optional<duration> work_length::longRunTime() const
{
    if (m_runTimes.count() < minimumSamples) {
        return std::nullopt;
    }
    return duration(static_cast<std::int64_t>(longFactor * m_typicalRunTime));
}

duration work_length::typicalRunTime() const
{
    return duration(static_cast<std::int64_t>(m_typicalRunTime));
}

} // namespace banyan
