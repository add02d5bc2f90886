#pragma once

#include "banyan/core/serving/job_entry.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace banyan {

/// Options of a job_forecast.
struct job_forecast_options
{
    duration occupancyMemory = std::chrono::seconds(10); ///< Over which the slots are averaged that online work holds.
    double runMemory = 30; ///< Completed items over which the tokens of a slot are averaged.
    double lateShare = 0.5; ///< Of the quota, that jobs may hold at most which cannot be done in time.
};

/// Decides how much of a route's quota of waiting tokens a job may fill.
///
/// Load pattern: bursts of jobs of which the upstreams finish a small part in time, with a quota that has room for the whole of
/// the first one. If it is filled with jobs that will be late, jobs of the next burst that could be in time are refused. So late
/// jobs leave the room free that jobs can fill which will be in time; these may fill the whole quota.
///
/// A job is in time if the jobs before it and itself can be done within its window by the slots that online work leaves. Jobs go
/// by the end of their windows, and those that cannot be done in time go last, as batch_order has them. A job before which none
/// waits may always fill the whole quota.
class job_forecast
{
public:
    explicit job_forecast(job_forecast_options options = {});

    /// Takes in the slots of the route's upstreams, and how many of them online work of all nodes holds.
    void observed(std::uint32_t slots, std::uint32_t online, time_point now);

    /// Takes in an item that has spent @p runTime at upstreams.
    void completed(std::uint64_t tokens, duration runTime);

    /// Tokens that all upstreams together finish in a second beside online work; none while that is not known.
    [[nodiscard]] std::optional<double> tokensPerSecond() const;

    /// What a limit is decided for.
    struct situation
    {
        std::uint64_t quota = 0; ///< Tokens that may wait.
        std::uint64_t tokens = 0; ///< Of the new job.
        duration window{}; ///< From a job's submission to its last result in time.
        std::span<const job_entry> open; ///< The route's jobs that have work left.
    };

    /// Tokens that may wait with the new job among them. The whole quota if the job can be in time.
    [[nodiscard]] std::uint64_t limitFor(const situation &at, time_point now) const;

    /// Tokens of those open jobs that can be in time.
    [[nodiscard]] std::uint64_t tokensInTime(const situation &at, double tokensPerSecond, time_point now) const;

private:
    job_forecast_options m_options;
    std::optional<double> m_batchSlots; ///< Average of those that online work leaves.
    time_point m_observedAt;
    double m_tokens = 0; ///< Of completed items, the older the less.
    double m_runSeconds = 0; ///< Of the same items.
};

} // namespace banyan
