#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// Tokens of a route's quota that are reserved for a job, from before the job is recorded until its last item has a result.
struct quota_reservation
{
    job_id job;
    std::uint64_t tokens = 0; ///< Tokens of the items that had no result when the reservation was written.
    duration reservedAt{}; ///< Time of the reservation by the clock of the store, which all nodes share.
    std::uint64_t claim = 0; ///< Identifies the submission of the job that made the reservation and may release it.

    auto operator<=>(const quota_reservation &) const = default;
};

} // namespace banyan
