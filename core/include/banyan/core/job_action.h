#pragma once

#include "banyan/core/job_record.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace banyan {

/// Read a part of the input file. Answer with job_coordinator::chunkLoaded() or chunkUnavailable().
struct load_chunk
{
    std::size_t chunk = 0;

    auto operator<=>(const load_chunk &) const = default;
};

/// Forget a part of the input file; items that were started keep their own lines.
struct release_chunk
{
    std::size_t chunk = 0;

    auto operator<=>(const release_chunk &) const = default;
};

/// Run an item. Its line comes from its loaded chunk, or was kept from its last run. Answer with itemEnded(), or
/// with startNeeded() if the item is not to be repeated and @ref startCommitted is false.
struct run_item
{
    std::uint32_t item = 0;
    bool startCommitted = false; ///< It is on record that the item may have been sent.

    auto operator<=>(const run_item &) const = default;
};

/// Stop an item in flight. itemEnded() is still expected.
struct cancel_item
{
    std::uint32_t item = 0;

    auto operator<=>(const cancel_item &) const = default;
};

/// Forget an item's line; it will be read again later.
struct requeue_item
{
    std::uint32_t item = 0;

    auto operator<=>(const requeue_item &) const = default;
};

/// Why an item gets an error without a further run.
enum class item_failure {
    Expired, ///< The completion window has passed.
    OutcomeUnknown, ///< Not to be repeated, and a coordinator that is gone may have sent it.
    LostRunLimitReached, ///< Each run may have cost an upstream its work without an answer.
    InputMissing, ///< The input object is gone.
};

/// Make an error result for an item. Answer with itemEnded() and Rejected.
struct fail_item
{
    std::uint32_t item = 0;
    item_failure reason = item_failure::Expired;

    auto operator<=>(const fail_item &) const = default;
};

/// Store the results of these items, answers in one object and errors in another, under the segment's names. Answer
/// with resultsStored() or storeUnavailable(). Asked again with the same content until it is stored.
struct store_results
{
    job_segment segment;
    std::vector<std::uint32_t> answers;
    std::vector<std::uint32_t> errors;

    auto operator<=>(const store_results &) const = default;
};

/// Write the job's row on condition of its version. Answer with committed(), commitRejected() or, if the outcome is
/// not known, commitUnknown(). With a final status the job leaves the index of active jobs in the same transaction.
struct commit_progress
{
    row_version version = 0;
    job_record record;

    auto operator<=>(const commit_progress &) const = default;
};

/// Read the job's row. Answer with jobRead() or storeUnavailable().
struct read_job
{
    auto operator<=>(const read_job &) const = default;
};

/// How a coordinator's work on a job ended.
enum class coordination_outcome {
    Finished, ///< The job has a final status.
    LeaseLost, ///< Another coordinator has the job, or its row is gone.
    Released, ///< Given back for another coordinator.
};

/// Nothing more is to be done for this job; all its items in flight are to be cancelled and forgotten.
struct end_coordination
{
    coordination_outcome outcome = coordination_outcome::Finished;

    auto operator<=>(const end_coordination &) const = default;
};

/// What the host of a job_coordinator has to do, in order.
using job_action = std::variant<load_chunk,
                                release_chunk,
                                run_item,
                                cancel_item,
                                requeue_item,
                                fail_item,
                                store_results,
                                commit_progress,
                                read_job,
                                end_coordination>;
using job_actions = std::vector<job_action>;

} // namespace banyan
