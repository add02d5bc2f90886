#include "banyan/core/serving/organisation_credits.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr double memory = 0.5; // Seconds in which an event loses about two thirds of its weight.

} // namespace

void organisation_credits::recent_count::add(time_point now)
{
    value = valueAt(now) + 1;
    at = std::max(at, now);
}

double organisation_credits::recent_count::valueAt(time_point now) const
{
    const double age = std::chrono::duration<double>(std::max(duration(0), now - at)).count();
    return value * std::exp(-age / memory);
}

void organisation_credits::recordArrival(time_point now)
{
    m_arrivals.add(now);
}

void organisation_credits::dropEnded(time_point now)
{
    while (!m_lots.empty() && m_lots.front().end <= now) {
        m_credits -= m_lots.front().count;
        m_lots.pop_front();
    }
}

bool organisation_credits::take(time_point now)
{
    dropEnded(now);
    if (m_lots.empty()) {
        return false;
    }
    --m_credits;
    if (--m_lots.front().count == 0) {
        m_lots.pop_front();
    }
    return true;
}

void organisation_credits::add(std::uint32_t count, time_point end)
{
    if (count == 0) {
        return;
    }
    const auto after = std::upper_bound(m_lots.begin(), m_lots.end(), end, [](time_point value, const lot &entry) {
        return value < entry.end;
    });
    m_lots.insert(after, {.count = count, .end = end});
    m_credits += count;
}

std::uint32_t organisation_credits::wantedSpare(duration ahead, time_point now)
{
    if (now < m_spareAskedUntil) {
        return 0;
    }
    dropEnded(now);
    const double perSecond = m_arrivals.valueAt(now) / memory;
    const auto expected = static_cast<std::uint32_t>(perSecond * std::chrono::duration<double>(ahead).count());
    const bool isLow = expected > 2 * m_credits; // Asked in lumps, to save messages.
    return isLow ? expected - m_credits : 0;
}

void organisation_credits::recordSpareAsked(time_point until)
{
    m_spareAskedUntil = until;
}

void organisation_credits::recordDry(time_point until)
{
    m_dryUntil = std::max(m_dryUntil, until);
}

bool organisation_credits::isDry(time_point now) const
{
    return now < m_dryUntil;
}

void organisation_credits::recordAdmitted(time_point now)
{
    ++m_totals.admitted;
    m_admitted.add(now);
}

duration organisation_credits::recordRefused(duration longest, time_point now)
{
    ++m_totals.refused;
    // Those refused before come back first, at the rate at which requests are admitted.
    const double queue = m_refused.valueAt(now) / std::max(1.0, m_admitted.valueAt(now)) * memory;
    m_refused.add(now);
    const duration wait =
        std::max(duration(0), m_dryUntil - now) + std::chrono::duration_cast<duration>(std::chrono::duration<double>(queue));
    return std::min(wait, longest);
}

const limit_totals &organisation_credits::totals() const
{
    return m_totals;
}

} // namespace banyan
