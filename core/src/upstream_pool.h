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

/// Slots of a cell that one class may use, and how many of them are in use.
struct slot_usage
{
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
};

/// The upstreams of a cell with what they hold, and the choice of one for a request.
///
/// Online work may hold 1.5 times an upstream's adaptive limit, whatever batch work is there; batch work starts only below
/// the limit less headroom. Long work holds part of the slots only, and suspects one of an upstream at most.
class upstream_pool
{
public:
    explicit upstream_pool(const dispatcher_options &options);

    /// Replaces the upstreams; those that are gone stay as leaving until their work is over.
    void set(std::span<const upstream_info> upstreams);

    /// Whether any upstream takes or may soon take work.
    [[nodiscard]] bool hasUsable(time_point now) const;

    /// The upstream for a request; null if none has a slot for it.
    [[nodiscard]] const upstream_state *choose(const request_state &request, time_point now) const;

    /// Counts an attempt of @p request on @p upstream.
    void occupy(const upstream_id &upstream, const request_state &request);

    /// Takes back occupy().
    void release(const upstream_id &upstream, const request_state &request);

    /// Counts an attempt that occupies @p upstream as long from now on, as @p request already says.
    void countAsLong(const upstream_id &upstream, const request_state &request);

    /// Notes how much online work is in flight; the headroom follows its average.
    void recordOnlineWork(time_point now);

    /// Lets an upstream's limit learn from an attempt that has ended but is not released yet.
    void recordAttemptEnd(const attempt_state &attempt, const attempt_result &result, time_point now);

    /// The same while an attempt goes on.
    void recordProgress(const upstream_id &upstream, duration perToken, time_point now);

    /// Takes in how many requests an upstream says it held at @p reportedAt. Only a hint: what it held beyond this cell's
    /// own makes it look busier, less so the older the report is.
    void loadReported(const upstream_id &upstream, std::uint32_t requests, time_point reportedAt);

    /// An upstream that has not gone.
    [[nodiscard]] const upstream_state &at(const upstream_id &upstream) const;

    /// What @p value may use now.
    [[nodiscard]] slot_usage usageOf(work_class value, time_point now) const;

    [[nodiscard]] std::vector<upstream_status> status(time_point now) const;

    /// Fills in what @p load tells of the upstreams.
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
