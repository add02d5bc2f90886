#pragma once

#include "../outlier_detector.h"
#include "../sliding_quantile.h"
#include "banyan/core/identifier.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/serving/upstream_cell.h"
#include "batch_order.h"
#include "retry_after_estimator.h"
#include "scheduled_upstream.h"
#include "waiting_runs.h"

#include <cstdint>
#include <map>
#include <vector>

namespace banyan {

/// The upstreams of a cell and the runs that wait for them.
struct cell_schedule
{
    std::vector<scheduled_upstream *> members; ///< Those that take new work.
    waiting_runs online;
    std::map<request_id, slot_request> batch;
    retry_after_estimator retryEstimator;

    /// Slots of its members.
    [[nodiscard]] std::uint32_t slots() const;
};

/// What a node knows of a service: its upstreams, what waits for them, and what was measured.
struct service_schedule
{
    static constexpr std::size_t rememberedFirstBytes = 128; ///< Some tenths of a second of a busy service.

    std::map<upstream_id, scheduled_upstream> upstreams;
    std::map<upstream_cell, cell_schedule> cells;
    outlier_detector outliers{outlier_detector_options()};
    batch_order batchOrder;
    double firstByteSeconds = 0; ///< Average.
    sliding_quantile firstBytes{rememberedFirstBytes}; ///< In seconds.
    double runSeconds = 0; ///< Average, of online runs.

    /// The time to the first byte that most runs keep to, in seconds.
    [[nodiscard]] double tailFirstByteSeconds() const;

    /// The schedule of a cell.
    cell_schedule &cell(const upstream_cell &cell);

    /// Finds the cells' members anew; drops cells of which nothing waits.
    void upstreamsChanged();

    /// Online runs that wait for a slot of any cell.
    [[nodiscard]] std::uint32_t waitingOnline() const;

    /// Batch runs that wait for a slot of any cell.
    [[nodiscard]] std::uint32_t waitingBatch() const;
};

} // namespace banyan
