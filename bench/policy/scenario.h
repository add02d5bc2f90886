#pragma once

#include "baseline_dispatcher.h"
#include "fleet_simulation.h"
#include "workload.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace banyan::bench {

/// Whose decisions a run uses.
enum class policy_kind {
    Banyan,
    RoundRobin,
    LeastInFlight,
};

/// The name in the report.
[[nodiscard]] std::string_view toString(policy_kind value);

/// Upstreams that run slower for a time.
struct slowdown
{
    double share = 0; ///< Of the upstreams.
    double factor = 10;
    time_point from;
    time_point until;
    duration moveEvery{}; ///< The slowed upstreams change after this time; 0: they stay.
};

/// The loss of a failure domain: all of its upstreams die at once.
struct domain_loss
{
    std::size_t domain = 0;
    time_point from;
    time_point until;
};

/// One run of the simulation.
struct scenario
{
    policy_kind policy = policy_kind::Banyan;
    fleet_options fleet;
    workload_options work;
    dispatcher_options dispatch;
    baseline_options baseline;
    duration warmUp = std::chrono::seconds(10); ///< Requests submitted before this do not count.
    duration length = std::chrono::seconds(70); ///< Arrivals end here.
    std::optional<slowdown> slow;
    std::optional<domain_loss> loss;
};

/// What a run gave.
struct scenario_result
{
    std::vector<double> onlineShort; ///< Seconds from submit to the whole answer, sorted.
    std::vector<double> onlineLong;
    std::vector<double> batchShort;
    double batchTokens = 0; ///< Of completed batch items, a second.
    double onlineTokens = 0; ///< Of completed online requests, a second.
    std::uint64_t onlineFailed = 0;
    std::uint64_t batchFailed = 0;
    std::uint64_t onlineFinished = 0;
    fleet_counts counts;
};

/// Runs @p value to its end.
[[nodiscard]] scenario_result run(const scenario &value);

/// The value below which @p share of the sorted @p values lie; 0 if there are none.
[[nodiscard]] double quantile(const std::vector<double> &values, double share);

} // namespace banyan::bench
