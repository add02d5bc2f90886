#include "return_forecast.h"

#include "../seconds.h"

#include <algorithm>
#include <vector>

namespace banyan {

namespace {

constexpr duration burstGap = std::chrono::milliseconds(500); ///< Without anyone turned away the burst is over.
constexpr std::size_t rememberedBursts = 8; ///< Enough for a median, few enough to follow a change of the load.
constexpr duration shortestReturn = std::chrono::milliseconds(100); ///< Less is no time for a slot to become free.
constexpr double freeShareAfterwards = 0.5; ///< Of the slots, in the lull after a burst; the rest goes to work that arrives then.
constexpr double spreadOfLongest = 0.25; ///< Part of the longest time over which returns within a burst are spread.

} // namespace

void return_forecast::turnedAway(time_point when)
{
    if (m_any && when - m_lastAt <= burstGap) {
        m_lastAt = when;
        return;
    }
    if (m_any) {
        m_lengths.push_back(m_lastAt - m_begunAt);
        if (m_lengths.size() > rememberedBursts) {
            m_lengths.pop_front();
        }
    }
    m_any = true;
    m_begunAt = when;
    m_lastAt = when;
    m_promised = 0;
}

duration return_forecast::expectedRest(time_point when) const
{
    const duration elapsed = when - m_begunAt;
    std::vector<duration> longer;
    std::copy_if(m_lengths.begin(), m_lengths.end(), std::back_inserter(longer), [&](duration length) {
        return length > elapsed;
    });
    if (longer.empty()) {
        return elapsed;
    }
    std::nth_element(longer.begin(), longer.begin() + static_cast<std::ptrdiff_t>(longer.size() / 2), longer.end());
    return longer[longer.size() / 2] - elapsed;
}

duration return_forecast::comeBackAfter(const situation &now, time_point when, std::mt19937_64 &generator)
{
    turnedAway(when);
    const duration longest = std::max(shortestReturn, now.longest);
    const duration rest = std::max({shortestReturn, now.expectedWait, expectedRest(when)});
    std::uniform_real_distribution<double> anywhere(0, 1);
    // One after the other, as slots become free: clients that come back together would be turned away again.
    const double freeRate = std::max(1.0, now.slotsPerSecond * freeShareAfterwards);
    const duration after = rest + fromSeconds((m_promised + anywhere(generator)) / freeRate);
    if (after >= longest) {
        // The end of the burst, or a free slot after it, is out of reach: the later, the better.
        return longest - fromSeconds(toSeconds(longest) * spreadOfLongest * anywhere(generator));
    }
    ++m_promised;
    return after;
}

} // namespace banyan
