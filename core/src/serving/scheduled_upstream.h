#pragma once

#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace banyan {

/// An upstream and this node's own work there.
struct scheduled_upstream
{
    replica info;
    upstream_key key = 0;
    std::uint32_t online = 0;
    std::uint32_t batch = 0; ///< Without those that were reclaimed.
    bool registered = true;
    std::optional<time_point> degradedAt;
    double firstByteSeconds = 0; ///< Average; 0 while unknown.
    std::vector<request_id> batchRuns; ///< Those that hold a slot.

    /// Whether it takes new work.
    [[nodiscard]] bool isUsable() const
    {
        return registered && !info.draining;
    }
};

/// A run that has its slot.
struct granted_run
{
    slot_request request;
    upstream_id upstream;
    time_point grantedAt;
    time_point overdueAt; ///< Without a first byte until then it counts as overdue.
    bool firstByteSeen = false;
    bool overdue = false;
    bool reclaimed = false;
};

} // namespace banyan
