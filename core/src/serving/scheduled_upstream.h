#pragma once

#include "banyan/core/serving/outstanding_work.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"
#include "start_budget.h"
#include "upstream_speed.h"
#include "work_estimator.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyan {

/// An upstream and this node's own work in flight at it.
struct scheduled_upstream
{
    replica info;
    upstream_key key = 0;
    std::uint32_t online = 0;
    std::uint32_t batch = 0; ///< Excludes runs whose slot was reclaimed.
    bool registered = true;
    std::optional<time_point> degradedAt; ///< Last failed or overdue attempt; empty after an answer that was not overdue.
    double firstByteSeconds = 0; ///< Moving average of the time to first byte; 0 before the first measurement.
    std::vector<request_id> batchRuns; ///< Batch runs that hold a slot.
    upstream_speed speed;
    outstanding_work outstanding; ///< Of this node's own runs, as expected when they were granted.
    std::optional<time_point> grantedAt; ///< Last grant of this node.
    std::optional<start_budget> starts; ///< Limits how often this node starts runs; set while the upstream's rate is limited.

    /// Whether the upstream accepts new work.
    [[nodiscard]] bool isUsable() const
    {
        return registered && !info.draining;
    }

    /// Whether the upstream's rate allows to start a run.
    [[nodiscard]] bool mayStart(work_class workClass, time_point now) const
    {
        return !starts || starts->mayStart(workClass, now);
    }

    /// Runs per second that can be started here if each takes @p runSeconds.
    [[nodiscard]] double startsPerSecond(double runSeconds) const
    {
        const double bySlots = info.slots / runSeconds;
        return starts ? std::min(bySlots, starts->startsPerSecond()) : bySlots;
    }
};

/// A run that holds a slot.
struct granted_run
{
    slot_request request;
    upstream_id upstream;
    time_point grantedAt;
    time_point overdueAt; ///< Time at which the run counts as overdue if it has no first byte.
    expected_work expected; ///< At an average upstream.
    expected_work typical; ///< The same without the influence of rare long runs.
    expected_work expectedHere; ///< At its upstream, as it was at the grant.
    bool cached = false; ///< Whether the upstream was expected to keep the prompt's shared prefix.
    bool firstByteSeen = false;
    bool overdue = false;
    bool reclaimed = false;
};

} // namespace banyan
