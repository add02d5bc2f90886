#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/job_record.h"
#include "banyan/core/time.h"
#include "banyan/core/transaction.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyan {

/// Parts of the index of active jobs. Each is looked through by one node, so that the store's load does not grow with
/// the number of nodes.
inline constexpr std::uint32_t activeShards = 64;

/// An entry of the index of active jobs: what a node has to know in order to decide whether to take a job over.
struct active_job
{
    job_id job;
    std::string owner; ///< Lease; empty: none.
    time_point deadline;

    [[nodiscard]] std::string toJson() const;
    /// @throws record_error
    [[nodiscard]] static active_job fromJson(std::string_view json);

    auto operator<=>(const active_job &) const = default;
};

/// The shard of the index that a job is in.
[[nodiscard]] std::uint32_t shardOf(const job_id &job);

/// The prefix of the keys of a shard's entries.
[[nodiscard]] std::string activePrefix(std::uint32_t shard);

/// The key of a job's entry.
[[nodiscard]] std::string activeKey(const job_id &job);

/// The keys of a caller's list of jobs, newest first.
[[nodiscard]] std::string callerJobPrefix(const caller_id &caller);
[[nodiscard]] std::string callerJobKey(const caller_id &caller, const job_id &job);

/// The keys by which a lease's holder finds the cancels of its jobs.
[[nodiscard]] std::string cancelPrefix(const std::string &lease);
[[nodiscard]] std::string cancelKey(const std::string &lease, const job_id &job);

/// Changes the job's row from @p version, and with it the index entry and the notice of a cancel, as its new state wants.
/// @p before is the owner until now.
[[nodiscard]] transaction changeJob(const job_record &next, row_version version, const std::string &before);

} // namespace banyan
