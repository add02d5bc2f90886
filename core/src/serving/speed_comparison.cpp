#include "speed_comparison.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr duration interval = std::chrono::seconds(1);
constexpr std::size_t fewest = 3; ///< Upstreams below which a single disturbed one would look like a difference.
constexpr double unevenSpread = 1.25; ///< More than short disturbances make of equal upstreams.
constexpr double doubtfulSpread = 1.7; ///< The same of few upstreams, or of some that have been measured for a few seconds only.
constexpr std::size_t many = 8; ///< Upstreams from which on the tenths are more than single ones.
constexpr double evenSpread = 1.15;
constexpr std::uint32_t comparisonsInRow = 3; ///< That have to find a difference, since one may have met a disturbance.
constexpr std::size_t tenth = 10;

} // namespace

bool speed_comparison::isDue(time_point now) const
{
    return now - m_updatedAt >= interval;
}

double speed_comparison::neededSpread(bool doubtful) const
{
    if (m_uneven) {
        return evenSpread;
    }
    return doubtful ? doubtfulSpread : unevenSpread;
}

void speed_comparison::update(std::vector<double> factors, bool settled, time_point now)
{
    m_updatedAt = now;
    if (factors.size() < fewest) {
        m_uneven = false;
        m_unevenInRow = 0;
        m_spread = 1;
        m_mean = 1;
        return;
    }
    std::sort(factors.begin(), factors.end());
    const std::size_t outside = factors.size() / tenth;
    m_spread = factors[factors.size() - 1 - outside] / factors[outside];
    m_unevenInRow = m_spread >= neededSpread(!settled || factors.size() < many) ? std::min(m_unevenInRow + 1, comparisonsInRow) : 0;
    m_uneven = m_uneven ? m_unevenInRow > 0 : m_unevenInRow == comparisonsInRow;
    double sum = 0;
    for (const double factor : factors) {
        sum += std::log(factor);
    }
    m_mean = std::exp(sum / static_cast<double>(factors.size()));
}

} // namespace banyan
