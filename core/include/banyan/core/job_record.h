#pragma once

#include "banyan/core/file_record.h"
#include "banyan/core/identifier.h"
#include "banyan/core/index_set.h"
#include "banyan/core/job_state.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// The results that one commit added to a job: up to two immutable objects, see outputObjectName() and
/// errorsObjectName(). Their names contain the fencing number, so that two coordinators never write the same object.
struct job_segment
{
    std::uint64_t fencingNumber = 0; ///< Fencing number of the coordinator that wrote the segment.
    std::uint32_t sequence = 0; ///< Index among the segments of that coordinator.
    std::uint32_t outputBytes = 0; ///< Size of the object with answers; 0 if there is no such object.
    std::uint32_t errorBytes = 0; ///< Size of the object with errors; 0 if there is no such object.

    auto operator<=>(const job_segment &) const = default;
};

/// The state of a batch job. It is stored in one row, whatever the number of items.
///
/// Every change of the row is conditional on the version that was read. A new coordinator increments the fencing number,
/// so that commits of the previous coordinator cannot take effect any more.
struct job_record
{
    job_id id;
    caller_id caller;
    file_id inputFile;
    std::vector<std::uint32_t> itemsPerPart; ///< Number of items in each part of the input file.
    std::string endpoint; ///< For example "/v1/chat/completions".
    std::string completionWindow; ///< As the caller gave it, for example "24h".
    std::string metadata; ///< JSON object, or empty.
    std::string createKey; ///< Key of the row that deduplicates a resent creation request.
    time_point createdAt;
    time_point deadline; ///< End of the completion window.
    time_point expiresAt; ///< Time from which on the row and the results may be deleted.

    job_state status = job_state::Validating;
    std::optional<time_point> startedAt;
    std::optional<time_point> cancellingAt;
    std::optional<time_point> endedAt;

    std::string owner; ///< Lease of the node that coordinates the job; empty if there is none.
    std::uint64_t fencingNumber = 0; ///< Incremented with each change of owner.

    index_set done; ///< Items that have a committed result.
    index_set started; ///< Non-repeatable items that may have been sent; includes all that are in flight.
    std::uint32_t completed = 0; ///< Items with an answer.
    std::uint32_t failed = 0; ///< Items with an error.
    std::vector<job_segment> segments; ///< In the order of their commits.

    /// Number of all items.
    [[nodiscard]] std::uint32_t total() const;

    /// Bytes of all answers.
    [[nodiscard]] std::uint64_t outputBytes() const;
    /// Bytes of all errors.
    [[nodiscard]] std::uint64_t errorBytes() const;

    /// Serializes the record as the value of its row.
    [[nodiscard]] std::string toJson() const;
    /// Parses the output of toJson(). @throws record_error
    [[nodiscard]] static job_record fromJson(std::string_view json);

    auto operator<=>(const job_record &) const = default;
};

/// The key of a job's row.
[[nodiscard]] std::string jobKey(const job_id &job);

/// The names of the objects that hold a segment's answers and its errors.
[[nodiscard]] std::string outputObjectName(const job_id &job, const job_segment &segment);
[[nodiscard]] std::string errorsObjectName(const job_id &job, const job_segment &segment);

/// The item's identifier, for example "batch_req_17_4" for item 4 of job "batch_17". It is the same for every run of the item.
[[nodiscard]] std::string itemId(const job_id &job, std::uint32_t item);

/// The ids of the virtual files with a job's answers and errors; these files have no row of their own.
[[nodiscard]] file_id outputFileId(const job_id &job);
[[nodiscard]] file_id errorFileId(const job_id &job);

/// The job to which a virtual result file belongs, and whether the file contains its errors or its answers.
struct result_file
{
    job_id job;
    bool errors = false;

    auto operator<=>(const result_file &) const = default;
};
/// Parses an id made by outputFileId() or errorFileId(); none for any other id.
[[nodiscard]] std::optional<result_file> parseResultFile(const file_id &file);

} // namespace banyan
