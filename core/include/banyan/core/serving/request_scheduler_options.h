#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/placement_policy.h"
#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// Options of a request_scheduler.
struct request_scheduler_options
{
    node_id self; ///< Breaks ties between nodes that could preempt their batch runs.
    duration assumedFirstByte = std::chrono::milliseconds(80); ///< Initial average time to first byte of a service.
    duration assumedRunTime = std::chrono::milliseconds(800); ///< Initial average run time of its online requests.
    duration reactionTime =
        std::chrono::milliseconds(50); ///< Time other nodes need to preempt; batch leaves slots for its online arrivals.
    placement_policy placement = placement_policy::Automatic;
    std::uint64_t seed = 1; ///< Random seed for ties between upstreams and for retry jitter.
};

} // namespace banyan
