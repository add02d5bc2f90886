#pragma once

#include "site_model.h"

#include "banyan/core/serving/placement_policy.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan::bench {

/// Who decides where a run goes.
enum class placing_way {
    Claims, ///< One node for each cell of upstreams, with the cell's only queue.
    Reports, ///< Each node, by what the others report.
    Random, ///< Each node, at random: the baseline.
    Fewest, ///< The upstream with the fewest runs, known exactly, without queues before it.
};

/// The name in reports and on the command line.
[[nodiscard]] std::string_view toString(placing_way way);

/// Options of a run of a site.
struct site_run_options
{
    placing_way way = placing_way::Claims;
    placement_policy placement = placement_policy::LeastRuns;
    duration reportInterval = std::chrono::milliseconds(30); ///< Between two load reports of a node.
    duration warmUp = std::chrono::milliseconds(5800); ///< What begins before this does not count.
    duration length = std::chrono::milliseconds(34800); ///< Arrivals end here.
    double load = 1; ///< Times the rates of the site.
    double crashShare = 0; ///< Of the first service's upstreams that crash.
    std::optional<time_point> crashAt; ///< Half-way if empty.
    duration crashTime = std::chrono::seconds(4);
    std::optional<duration> discoveryLag; ///< After which crashes and returns are in the list of upstreams; never if empty.
    double slowNodeShare = 0; ///< Of the nodes that send and forward late.
    duration slowNodeDelay{}; ///< By which a run's first byte at these nodes comes later.
    duration window = std::chrono::milliseconds(200); ///< Of the course over time.
    std::uint64_t seed = 1;
};

/// What came of one kind of request.
struct class_result
{
    std::string name;
    std::uint64_t owed = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t onTimeAfterRefusal = 0; ///< At the second attempt, which began when the refusal had said.
    std::uint64_t refused = 0; ///< At every attempt.
    double credit = 0; ///< Over what on-time answers to all would earn.
};

/// A window of the run.
struct window_result
{
    time_point from;
    std::uint64_t owed = 0; ///< Online requests that began in it.
    double credit = 0; ///< Theirs, over what they could earn.
    std::uint64_t refusals = 0; ///< Of attempts.
    std::uint64_t heldRefusals = 0; ///< Refusals of attempts that had waited for more than a quarter of the streams' target.
    std::uint64_t onTime = 0; ///< Online requests of the first service that were answered in it within their target.
    std::uint64_t late = 0; ///< The same, later than that.
    std::uint32_t waiting = 0; ///< Online runs that wait, at its end.
    std::uint32_t batchRunning = 0; ///< At its end.
    std::uint32_t idle = 0; ///< Slots of the first service's listed upstreams that nothing uses, at its end.
};

/// What came of one caller's requests.
struct caller_result
{
    std::uint64_t owed = 0;
    std::uint64_t onTime = 0; ///< Counted from the attempt that was answered.
    std::uint64_t itemsOwed = 0;
    std::uint64_t itemsInTime = 0;
};

/// What a run gave.
struct site_result
{
    std::vector<class_result> classes;
    std::vector<window_result> windows;
    std::vector<caller_result> callers;
    double onlineCredit = 0; ///< Over all kinds, by worth.
    double burstCredit = 0; ///< The same of what began within bursts.
    std::uint64_t itemsOwed = 0; ///< Batch items whose window has ended.
    std::uint64_t itemsInTime = 0;
    double firstByteMedian = 0; ///< Of the streamed answers that came, in seconds at the client.
    double firstByteTail = 0; ///< The slowest hundredth begins with this.
    double itemSeconds = 0; ///< Mean time from the submission of a batch item to its end.
    std::uint64_t itemsDone = 0; ///< Of all batch items, up to the last arrival.
    std::uint64_t reclaimed = 0; ///< Batch runs that gave their slot back.
    std::uint64_t rejected = 0; ///< Runs that found their upstream full.
};

/// Runs @p site with the product's own scheduler; the same seed gives the same result.
[[nodiscard]] site_result runSite(const site_model &site, const site_run_options &options);

} // namespace banyan::bench
