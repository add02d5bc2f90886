#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// Tokens of a route's quota that are set aside for a job, from before it is recorded until its last item has a result.
struct quota_reservation
{
    job_id job;
    std::uint64_t tokens = 0; ///< Of its items without a result, when the holding was written.
    duration reservedAt{}; ///< By the store's clock, which is the same for all nodes.
    std::uint64_t claim = 0; ///< Tells submissions of the same job apart: the one that holds the tokens may give them back.

    auto operator<=>(const quota_reservation &) const = default;
};

} // namespace banyan
