#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// Where a batch job stands, for operators.
struct job_status
{
    job_id id;
    caller_id caller;
    std::string state; ///< As in the callers' interface: "in_progress", "completed", "cancelled" and so on.
    std::uint64_t items = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    time_point created;

    auto operator<=>(const job_status &) const = default;
};

} // namespace banyan
