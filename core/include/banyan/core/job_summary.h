#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/job_state.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// What operators see of a batch job.
struct job_summary
{
    job_id id;
    caller_id caller;
    std::string endpoint;
    job_state status = job_state::Validating;
    std::string owner; ///< Lease of the coordinating node; empty: none.
    std::uint64_t fencingNumber = 0;
    std::uint32_t total = 0;
    std::uint32_t completed = 0;
    std::uint32_t failed = 0;
    time_point createdAt;
    time_point deadline;

    auto operator<=>(const job_summary &) const = default;
};

} // namespace banyan
