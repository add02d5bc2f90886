#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <cstdint>

namespace banyan {

/// Options of a request_scheduler.
struct request_scheduler_options
{
    node_id self; ///< Breaks ties between nodes that could yield.
    duration assumedFirstByte = std::chrono::milliseconds(80); ///< Until some have been measured.
    duration assumedRunTime = std::chrono::milliseconds(800); ///< Until some have been measured.
    duration reactionTime = std::chrono::milliseconds(50); ///< For other nodes' batch work to yield; slots for that long are kept free.
    std::uint64_t seed = 1; ///< For the choice between equals and for the spread of retries.
};

} // namespace banyan
