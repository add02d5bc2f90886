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

/// Results that one commit added to a job: up to two objects that never change, see outputName() and errorsName().
/// The fencing number in the name keeps the objects of two coordinators apart.
struct job_segment
{
    std::uint64_t fencingNumber = 0; ///< Of the coordinator that wrote it.
    std::uint32_t sequence = 0; ///< Counts that coordinator's segments.
    std::uint32_t outputBytes = 0; ///< Answers; 0: there is no such object.
    std::uint32_t errorBytes = 0; ///< Errors; 0: there is no such object.

    auto operator<=>(const job_segment &) const = default;
};

/// A batch job as it stands in its one row, whatever the number of its items.
///
/// Whoever changes the row does so on condition of the version that it read. A new coordinator raises the fencing
/// number, so that no commit of the one before it can take effect any more.
struct job_record
{
    job_id id;
    caller_id caller;
    file_id inputFile;
    std::vector<std::uint32_t> itemsPerPart; ///< Of the input file's parts.
    std::string endpoint; ///< For example "/v1/chat/completions".
    std::string completionWindow; ///< As the caller gave it, for example "24h".
    std::string metadata; ///< JSON object, or empty.
    std::string createKey; ///< Key of the row that makes a resent job the same job.
    time_point createdAt;
    time_point deadline; ///< End of the completion window.
    time_point expiresAt; ///< When the row and the results may be removed.

    job_state status = job_state::Validating;
    std::optional<time_point> startedAt;
    std::optional<time_point> cancellingAt;
    std::optional<time_point> endedAt;

    std::string owner; ///< Lease of the coordinator's node; empty: none.
    std::uint64_t fencingNumber = 0; ///< Grows with each change of owner.

    index_set done; ///< Items that have a committed result.
    index_set started; ///< Items not to be repeated that may have been sent; a superset of those in flight.
    std::uint32_t completed = 0; ///< Items with an answer.
    std::uint32_t failed = 0; ///< Items with an error.
    std::vector<job_segment> segments; ///< In the order of their commits.

    /// Number of all items.
    [[nodiscard]] std::uint32_t total() const;

    /// Bytes of all answers, and of all errors.
    [[nodiscard]] std::uint64_t outputBytes() const;
    [[nodiscard]] std::uint64_t errorBytes() const;

    /// The row's value.
    [[nodiscard]] std::string toJson() const;
    /// Reads the form that toJson() writes. @throws record_error
    [[nodiscard]] static job_record fromJson(std::string_view json);

    auto operator<=>(const job_record &) const = default;
};

/// The key of a job's row.
[[nodiscard]] std::string jobKey(const job_id &job);

/// The names of the objects with a segment's answers and errors.
[[nodiscard]] std::string outputName(const job_id &job, const job_segment &segment);
[[nodiscard]] std::string errorsName(const job_id &job, const job_segment &segment);

/// The item's identifier, the same whoever runs it and however often: "batch_req_…".
[[nodiscard]] std::string itemId(const job_id &job, std::uint32_t item);

/// The files that show a job's answers and errors; they have no row of their own.
[[nodiscard]] file_id outputFileId(const job_id &job);
[[nodiscard]] file_id errorFileId(const job_id &job);

/// The job whose answers (or, with @p errors, whose errors) a file shows; none if it is no such file.
struct result_file
{
    job_id job;
    bool errors = false;

    auto operator<=>(const result_file &) const = default;
};
[[nodiscard]] std::optional<result_file> parseResultFile(const file_id &file);

} // namespace banyan
