#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// What is stored of a job beside its items and results.
struct job_entry
{
    job_id id;
    std::string route; ///< Name of the route that it came by.
    std::string host; ///< Of the route; sent with each run.
    time_point submittedAt;
    std::uint32_t total = 0; ///< Items.
    std::uint64_t tokensLeft = 0; ///< Of the items without a recorded result; kept up only while the route has a quota.
    node_id owner; ///< The node that runs it; empty if any node may take it.
    bool ended = false; ///< By its client: nothing of it is started any more.
    bool complete = false; ///< Every item has a result.
    bool itemsInObject = false; ///< The items are in an object, since they are too large for a row.
    row_version version = 0; ///< Of the row; serves as the owner's fencing token.

    /// Whether it has work left.
    [[nodiscard]] bool isOpen() const
    {
        return !ended && !complete;
    }

    auto operator<=>(const job_entry &) const = default;
};

} // namespace banyan
