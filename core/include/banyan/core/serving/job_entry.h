#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// The stored data of a job apart from its items and results.
struct job_entry
{
    job_id id;
    std::string route; ///< Name of the route that received the job.
    std::string host; ///< Host of the route, sent with each run.
    caller_id organisation; ///< Whose key submitted the job; empty if none did.
    time_point submittedAt;
    std::uint32_t total = 0; ///< Number of items.
    std::uint64_t tokensLeft = 0; ///< Tokens of the items without a recorded result; updated only while the route has a quota.
    node_id owner; ///< The node that runs the job; empty if any node may take it over.
    bool ended = false; ///< Ended by its client: no further item is started.
    bool complete = false; ///< Every item has a result.
    bool itemsInObject = false; ///< Whether the items are in an object because they are too large for a row.
    row_version version = 0; ///< Version of the row, which serves as the fencing token of the owner.

    /// Whether the job has work left.
    [[nodiscard]] bool isOpen() const
    {
        return !ended && !complete;
    }

    auto operator<=>(const job_entry &) const = default;
};

/// Names the quota of waiting tokens of an organisation's jobs on a route; of all jobs there if the organisation is empty.
[[nodiscard]] inline std::string quotaName(const std::string &route, const caller_id &organisation)
{
    return organisation.empty() ? route : route + "@" + organisation.text();
}

} // namespace banyan
