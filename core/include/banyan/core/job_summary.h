#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/job_state.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// The summary of a batch job that is shown to operators.
struct job_summary
{
    job_id id;
    caller_id caller;
    std::string endpoint;
    job_state status = job_state::Validating;
    std::string owner; ///< Lease of the node that coordinates the job; empty if there is none.
    std::uint64_t fencingNumber = 0;
    std::uint32_t total = 0;
    std::uint32_t completed = 0;
    std::uint32_t failed = 0;
    time_point createdAt;
    time_point deadline;

    auto operator<=>(const job_summary &) const = default;
};

} // namespace banyan
