#pragma once

#include "../outlier_detector.h"
#include "banyan/core/identifier.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/serving/upstream_cell.h"
#include "batch_order.h"
#include "decaying_average.h"
#include "failing_origins.h"
#include "first_byte_estimate.h"
#include "retry_after_estimator.h"
#include "run_cost.h"
#include "scheduled_upstream.h"
#include "share_clock.h"
#include "speed_comparison.h"
#include "wait_margin.h"
#include "waiting_runs.h"
#include "work_estimator.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyan {

/// The upstreams of a cell and the runs waiting for their slots.
struct cell_schedule
{
    std::vector<scheduled_upstream *> members; ///< Upstreams of the cell that accept new work.
    waiting_runs online;
    std::map<request_id, slot_request> batch;
    std::size_t boundBatch = 0; ///< Waiting batch runs that are bound to a software version.
    share_clock batchShares; ///< What each caller's batch work has had while other batch work waited.
    retry_after_estimator retryEstimator;
    wait_margin waitMargin;

    /// Adds or removes a waiting batch run.
    void addBatch(const slot_request &request);
    void removeBatch(const request_id &id);

    /// The number of slots of its members, or of those of one software version.
    [[nodiscard]] std::uint32_t slots(const std::string &version = {}) const;

    /// Runs per second that its members, or those of one software version, can start, by their slots and rate limits, if each run
    /// takes @p runSeconds.
    [[nodiscard]] double startsPerSecond(double runSeconds, const std::string &version = {}) const;

    /// The number of members whose rate is limited.
    [[nodiscard]] std::uint32_t limitedMembers() const;
};

/// The scheduling state of a service on one node: upstreams, waiting runs and measurements.
struct service_schedule
{
    std::map<upstream_id, scheduled_upstream> upstreams;
    std::map<upstream_cell, cell_schedule> cells;
    outlier_detector outliers{outlier_detector_options()};
    failing_origins failing;
    batch_order batchOrder;
    double firstByteSeconds = 0; ///< Moving average of the time to first byte.
    first_byte_estimate startTimes{duration(0)}; ///< Times to first byte, by the node that sends the run.
    stated_cost costs;
    double runSeconds = 0; ///< Moving average of the run time of online runs.
    work_estimator work;
    speed_comparison speeds;
    bool isShared = false; ///< Whether other nodes have more work than this one at the upstreams that it uses.
    time_point sharingReviewedAt;
    decaying_average expectedFirstByte; ///< In seconds, of the runs whose first byte was measured last.
    decaying_average measuredFirstByte; ///< Of the same runs.
    decaying_average firstByteError; ///< Mean absolute difference of the two, in seconds.

    /// The schedule of a cell, created if it does not exist.
    cell_schedule &cell(const upstream_cell &cell);

    /// The cell whose upstreams a waiting batch run may use: the one that it asks for, or that of all upstreams while that one has none.
    cell_schedule &cellForBatch(const slot_request &request);

    /// Updates the members of all cells; removes unregistered upstreams without work, and empty cells of an earlier partition. Batch runs
    /// of cells that have lost all upstreams may use any upstream from now on.
    void upstreamsChanged();

    /// Learns from the first byte of a run at @p upstream that came @p seconds after its grant.
    void recordFirstByte(const granted_run &run, scheduled_upstream &upstream, double seconds, time_point now);

    /// Learns from a complete run at @p upstream.
    void recordRun(const granted_run &run, scheduled_upstream &upstream, double seconds, time_point now);

    /// How likely a batch run is to fail by itself: its item's failures, and one if its job has lately failed wherever it ran.
    [[nodiscard]] std::uint32_t doubtOf(const slot_request &request, time_point now) const;

    /// The number of online runs waiting for a slot of any cell.
    [[nodiscard]] std::uint32_t waitingOnline() const;

    /// The number of batch runs waiting for a slot of any cell.
    [[nodiscard]] std::uint32_t waitingBatch() const;

private:
    void compareSpeeds(time_point now);
    void moveStrandedBatch();
};

} // namespace banyan
