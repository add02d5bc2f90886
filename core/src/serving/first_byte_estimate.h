#pragma once

#include "../sliding_quantile.h"
#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <map>

namespace banyan {

/// Estimates how long after its grant a run of a service answers, by the node that sends it.
///
/// Load pattern: some nodes have more to forward than their processors can, so that first bytes at them come late whatever the
/// upstream does. That delay belongs to the node's own runs: counted for all, it would make every target look out of reach.
class first_byte_estimate
{
public:
    /// @p assumed holds until there are measurements.
    explicit first_byte_estimate(duration assumed);

    void record(const node_id &holder, duration taken, time_point now);

    /// The average time to the first byte of a run that @p holder sends.
    [[nodiscard]] duration expected(const node_id &holder, time_point now) const;

    /// The time to the first byte that 95 of 100 runs of @p holder do not exceed.
    [[nodiscard]] duration tail(const node_id &holder, time_point now) const;

private:
    struct holder_record
    {
        double seconds = 0; ///< Moving average of its times to first byte.
        double weight = 1; ///< Weight of the last measurement.
        time_point measuredAt;
    };

    [[nodiscard]] double excessOf(const node_id &holder, time_point now) const;

    double m_seconds; ///< Moving average of the time to first byte, less the excess of its holder.
    sliding_quantile m_recent; ///< The same, of recent runs.
    sliding_quantile m_raw; ///< Times to first byte of recent runs, in seconds.
    double m_quickSeconds = 0; ///< Lower quartile of m_raw; 0 while there are too few.
    double m_tailSeconds = 0; ///< 95th percentile of m_recent; 0 while there are too few.
    std::uint32_t m_sinceUpdate = 0; ///< Measurements since the quantiles were determined.
    std::map<node_id, holder_record> m_holders; ///< Nodes that had an answer lately.
    time_point m_expiredAt;
};

} // namespace banyan
