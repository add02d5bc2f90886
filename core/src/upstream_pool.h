#pragma once

#include "banyan/core/cell_load.h"
#include "banyan/core/dispatcher_options.h"
#include "banyan/core/upstream_status.h"
#include "dispatcher_state.h"
#include "outlier_detector.h"
#include "prefix_affinity.h"
#include "time_average.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace banyan {

/// The slots of a cell that one class may use, and how many of them are occupied.
struct slot_usage
{
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
};

/// The upstreams of a cell with their requests in flight; chooses an upstream for each request.
///
/// Online work may occupy 1.5 times an upstream's adaptive limit, regardless of its batch work; batch work starts only below
/// the limit minus the headroom. Long work may occupy only a part of the slots, and suspects one slot per upstream.
class upstream_pool
{
public:
    explicit upstream_pool(const dispatcher_options &options);

    /// Replaces the upstreams. A removed one stays as leaving until its attempts in flight have ended.
    void set(std::span<const upstream_info> upstreams);

    /// Whether any upstream accepts work now or soon: one in condition Good or Probing or, for a repeatable request, an ejected one
    /// that may be probed early.
    [[nodiscard]] bool hasUsable(bool repeatable, time_point now) const;

    /// The upstream for a request; null if none has a slot for it.
    [[nodiscard]] const upstream_state *choose(const request_state &request, time_point now) const;

    /// Adds an attempt of @p request to the counts of @p upstream.
    void occupy(const upstream_id &upstream, const request_state &request, time_point now);

    /// Removes an attempt that was added by occupy().
    void release(const upstream_id &upstream, const request_state &request);

    /// Counts an attempt on @p upstream as long from now on. The caller has set @p request.isLong.
    void countAsLong(const upstream_id &upstream, const request_state &request);

    /// Records how much online work is in flight. The headroom follows its average over time.
    void recordOnlineWork(time_point now);

    /// Adapts an upstream's limit to an attempt that has ended but is not released yet.
    void recordAttemptEnd(const attempt_state &attempt, const attempt_result &result, time_point now);

    /// Adapts an upstream's limit to the time per token of an attempt in flight.
    void recordProgress(const upstream_id &upstream, duration perToken, time_point now);

    /// Records the number of requests that an upstream reported for @p reportedAt. Those beyond this cell's own raise its load
    /// score, by less the older the report is, and have no other effect.
    void loadReported(const upstream_id &upstream, std::uint32_t requests, time_point reportedAt);

    /// An upstream of the pool. @throws std::out_of_range if it is not in the pool.
    [[nodiscard]] const upstream_state &at(const upstream_id &upstream) const;

    /// The slots that work of class @p value may use now.
    [[nodiscard]] slot_usage usageOf(work_class value, time_point now) const;

    [[nodiscard]] std::vector<upstream_status> status(time_point now) const;

    /// Sets the requests in flight and the slots of @p load.
    void fillLoad(cell_load &load, time_point now) const;

    [[nodiscard]] outlier_detector &outliers()
    {
        return m_outliers;
    }

    [[nodiscard]] const outlier_detector &outliers() const
    {
        return m_outliers;
    }

private:
    [[nodiscard]] upstream_condition conditionOf(const upstream_state &upstream, time_point now) const;
    [[nodiscard]] bool hasRotation(time_point now) const;
    [[nodiscard]] std::uint32_t onlineLimitOf(const upstream_state &upstream) const;
    [[nodiscard]] std::uint32_t batchLimitOf(const upstream_state &upstream, time_point now) const;
    [[nodiscard]] std::uint32_t headroomOf(time_point now) const;
    [[nodiscard]] std::uint32_t reservedOf(const upstream_state &upstream, time_point now) const;
    [[nodiscard]] static std::uint32_t longLimit(std::uint32_t slots);
    [[nodiscard]] bool accepts(const upstream_state &upstream, const request_state &request, time_point now) const;
    [[nodiscard]] bool acceptsOnline(const upstream_state &upstream, const request_state &request) const;
    [[nodiscard]] bool acceptsBatch(const upstream_state &upstream, const request_state &request, time_point now) const;
    [[nodiscard]] double loadScore(const upstream_state &upstream, const request_state &request, time_point now) const;
    static void changeInFlight(upstream_state &upstream, const request_state &request, int change);

    dispatcher_options m_options;
    std::map<upstream_id, upstream_state> m_upstreams;
    outlier_detector m_outliers;
    prefix_affinity m_prefixes;
    time_average m_onlineInFlight;
};

} // namespace banyan
