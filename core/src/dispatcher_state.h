#pragma once

#include "banyan/core/attempt_id.h"
#include "banyan/core/attempt_result.h"
#include "banyan/core/dispatch_request.h"
#include "banyan/core/time.h"
#include "banyan/core/upstream_info.h"
#include "concurrency_limit.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace banyan {

/// Where a request stands in a dispatcher.
enum class request_phase {
    Queued,
    BackingOff, ///< Waits for its retry time.
    InFlight,
};

/// A request between submit and finish.
struct request_state
{
    dispatch_request request;
    time_point submittedAt;
    request_phase phase = request_phase::Queued;
    std::vector<attempt_id> attempts; ///< In flight.
    std::optional<attempt_id> chosen; ///< Whose bytes go to the caller.
    std::uint32_t failedAttempts = 0; ///< Without preempted ones and hedges.
    std::uint32_t failedRuns = 0; ///< Those of them that may have run.
    std::uint32_t preemptions = 0;
    bool suspect = false; ///< Its content may have crashed an upstream.
    bool quarantined = false; ///< Its content crashed as many upstreams as it may.
    bool isLong = false; ///< Expected to run, or already running, much longer than most.
    std::optional<time_point> longRunAt; ///< When it counts as long if it still runs.
    bool charged = false; ///< Its caller's share has paid for it.
    bool mayHaveRun = false; ///< Some attempt may have reached an upstream.
    std::set<upstream_id> tried; ///< Upstreams where an attempt failed.
    std::optional<time_point> retryAt;
    std::optional<time_point> firstByteDueAt; ///< When its first attempt counts as slow without a first byte.
};

/// An attempt between start and end.
struct attempt_state
{
    request_id request;
    upstream_id upstream;
    time_point startedAt;
    std::optional<time_point> firstByteAt;
    time_point progressedAt; ///< Of the first byte or the last report of progress.
    bool reportsProgress = false;
    bool hedge = false;
    bool streamed = true; ///< As of its request.
};

/// An upstream of the cell, or one that has left it and still runs attempts.
struct upstream_state
{
    upstream_info info;
    concurrency_limit limit; ///< Requests that it may hold before batch work has to yield.
    double externalRequests = 0; ///< Requests of others, by its last load report.
    time_point reportedAt;
    std::uint32_t onlineInFlight = 0;
    std::uint32_t batchInFlight = 0;
    std::uint32_t onlineLongInFlight = 0; ///< Those of them that are long.
    std::uint32_t batchLongInFlight = 0;
    std::uint32_t suspectsInFlight = 0; ///< Of either class.
    std::uint32_t nonPreemptibleInFlight = 0; ///< Batch attempts that are not repeatable and so cannot be preempted.

    [[nodiscard]] std::uint32_t inFlight() const
    {
        return onlineInFlight + batchInFlight;
    }
};

} // namespace banyan
