#include "banyan/core/serving/outstanding_work.h"

#include "../seconds.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr double smallestRemainder = 0.2; ///< Share of its expected time that a run keeps however long it has run.

} // namespace

void outstanding_work::add(std::uint32_t runs, double seconds, time_point at)
{
    m_runs += runs;
    m_seconds += seconds;
    m_ends += seconds + runs * toSeconds(at.time_since_epoch());
}

void outstanding_work::remove(std::uint32_t runs, double seconds, time_point at)
{
    m_runs -= std::min(runs, m_runs);
    if (m_runs == 0) {
        *this = {}; // Sums of floating-point numbers would keep a remainder.
        return;
    }
    m_seconds -= seconds;
    m_ends -= seconds + runs * toSeconds(at.time_since_epoch());
}

double outstanding_work::remainingSeconds(time_point now) const
{
    return std::max(m_ends - m_runs * toSeconds(now.time_since_epoch()), smallestRemainder * m_seconds);
}

} // namespace banyan
