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

/// The phase of a request in a dispatcher.
enum class request_phase {
    Queued,
    BackingOff, ///< Waits for the delay before its next retry.
    InFlight,
};

/// A request between submit() and its finish_request action.
struct request_state
{
    dispatch_request request;
    time_point submittedAt;
    request_phase phase = request_phase::Queued;
    std::vector<attempt_id> attempts; ///< Attempts in flight.
    std::optional<attempt_id> chosen; ///< The attempt whose bytes are forwarded to the caller.
    std::uint32_t failedAttempts = 0; ///< Failed attempts; cancelled ones (preempted, or slower than a hedge) are not counted.
    std::uint32_t failedRuns = 0; ///< Failed attempts that may have run at the upstream.
    std::uint32_t preemptions = 0;
    bool suspect = false; ///< Its content is suspected of having crashed an upstream.
    bool quarantined = false; ///< Its content has reached the crash limit and is quarantined.
    bool isLong = false; ///< Expected to run much longer than most requests, or already doing so.
    std::optional<time_point> longRunAt; ///< When it starts to count as long if it is still running.
    bool charged = false; ///< Its cost has been charged to its caller's share in the queue.
    bool mayHaveRun = false; ///< An attempt may have run at an upstream.
    std::set<upstream_id> tried; ///< Upstreams where an attempt failed.
    std::optional<time_point> retryAt;
    std::optional<time_point> firstByteDueAt; ///< When its first attempt starts to count as slow if it has no first byte.
};

/// An attempt in flight.
struct attempt_state
{
    request_id request;
    upstream_id upstream;
    time_point startedAt;
    std::optional<time_point> firstByteAt;
    time_point progressedAt; ///< Time of the first byte or of the last progress report.
    bool reportsProgress = false;
    bool hedge = false;
    bool streamed = true; ///< Copied from its request.
};

/// An upstream of the cell, or a removed one that still has attempts in flight.
struct upstream_state
{
    upstream_info info;
    concurrency_limit limit; ///< Requests in flight above which online work preempts batch work.
    double externalRequests = 0; ///< Requests from outside this cell, according to the last load report.
    time_point reportedAt;
    std::uint32_t onlineInFlight = 0;
    std::uint32_t batchInFlight = 0;
    std::uint32_t onlineLongInFlight = 0; ///< Long requests among onlineInFlight.
    std::uint32_t batchLongInFlight = 0; ///< Long requests among batchInFlight.
    std::uint32_t suspectsInFlight = 0; ///< Suspect requests of both classes.
    std::uint32_t nonPreemptibleInFlight = 0; ///< Batch attempts that cannot be preempted because they are not repeatable.

    [[nodiscard]] std::uint32_t inFlight() const
    {
        return onlineInFlight + batchInFlight;
    }
};

} // namespace banyan
