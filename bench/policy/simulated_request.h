#pragma once

#include "banyan/core/dispatch_request.h"
#include "banyan/core/final_result.h"
#include "engine_model.h"

namespace banyan::bench {

/// What a request counts as in the figures.
enum class request_kind {
    OnlineShort,
    OnlineLong,
    BatchShort,
    BatchLong,
};

/// A request with what it asks of an engine.
struct simulated_request
{
    dispatch_request dispatch;
    engine_job job;
    request_kind kind = request_kind::OnlineShort;
};

/// How a request ended, as its caller sees it.
struct simulated_result
{
    request_kind kind = request_kind::OnlineShort;
    final_result result;
    time_point submittedAt;
    time_point endedAt;
    double tokens = 0;
};

} // namespace banyan::bench
