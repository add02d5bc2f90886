#include "first_byte_estimate.h"

#include "../seconds.h"

#include <algorithm>
#include <cmath>

namespace banyan {

namespace {

constexpr std::size_t rememberedFirstBytes = 128; ///< A few tenths of a second of a busy service.
constexpr std::size_t minimumFirstBytes = 16; ///< Fewer measurements do not determine the slowest twentieth.
constexpr std::uint32_t updateInterval = 4; ///< Measurements between two determinations of the tail.
constexpr double tailQuantile = 0.95; ///< The slowest 5 % met a slow upstream.
constexpr double smoothingFactor = 0.1; ///< Weight of a new measurement in the moving averages.
constexpr double referenceQuantile = 0.25; ///< Stays a time of quick answers where half of the nodes are slow.
constexpr double slowHolderFactor = 4; ///< Below this multiple of a quick answer, a holder's difference may be that of its upstreams.
constexpr duration halfLife = std::chrono::milliseconds(500); ///< Of a holder's excess without measurements, so that it is tried again.
constexpr duration forgottenAfter = std::chrono::seconds(10);

} // namespace

first_byte_estimate::first_byte_estimate(duration assumed)
    : m_seconds(toSeconds(assumed))
    , m_recent(rememberedFirstBytes)
    , m_raw(rememberedFirstBytes)
{
}

void first_byte_estimate::record(const node_id &holder, duration taken, time_point now)
{
    const double seconds = toSeconds(taken);
    m_raw.add(seconds);
    const double withoutExcess = std::max(0.0, seconds - excessOf(holder, now));
    m_seconds += smoothingFactor * (withoutExcess - m_seconds);
    m_recent.add(withoutExcess);
    if (m_recent.count() >= minimumFirstBytes && ++m_sinceUpdate >= updateInterval) {
        m_tailSeconds = m_recent.quantile(tailQuantile);
        m_quickSeconds = m_raw.quantile(referenceQuantile);
        m_sinceUpdate = 0;
    }
    holder_record &record = m_holders.try_emplace(holder, holder_record{.seconds = m_seconds}).first->second;
    record.weight = std::max(smoothingFactor, record.weight / (1 + record.weight));
    record.seconds += record.weight * (seconds - record.seconds);
    record.measuredAt = now;
    if (now - m_expiredAt >= forgottenAfter) {
        m_expiredAt = now;
        std::erase_if(m_holders, [now](const auto &candidate) {
            return now - candidate.second.measuredAt >= forgottenAfter;
        });
    }
}

/// The seconds by which the runs of a holder answer later than those of the others; 0 unless they differ greatly.
double first_byte_estimate::excessOf(const node_id &holder, time_point now) const
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end() || m_quickSeconds <= 0 || found->second.seconds < slowHolderFactor * m_quickSeconds) {
        return 0;
    }
    const double excess = std::max(0.0, found->second.seconds - m_seconds);
    return excess * std::exp2(-toSeconds(now - found->second.measuredAt) / toSeconds(halfLife));
}

duration first_byte_estimate::expected(const node_id &holder, time_point now) const
{
    return fromSeconds(m_seconds + excessOf(holder, now));
}

duration first_byte_estimate::tail(const node_id &holder, time_point now) const
{
    return fromSeconds(std::max(m_seconds, m_tailSeconds) + excessOf(holder, now));
}

} // namespace banyan
