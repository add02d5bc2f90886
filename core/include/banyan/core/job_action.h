#pragma once

#include "banyan/core/job_record.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace banyan {

/// Read one part of the input file. The host answers with job_coordinator::chunkLoaded(), chunkUnavailable() or
/// chunkMissing().
struct load_chunk
{
    std::size_t chunk = 0;

    auto operator<=>(const load_chunk &) const = default;
};

/// Drop a part of the input file from memory. The host keeps the input lines of items that were started.
struct release_chunk
{
    std::size_t chunk = 0;

    auto operator<=>(const release_chunk &) const = default;
};

/// Run an item. Its input line is in its loaded chunk or was kept from its previous run. The host answers with
/// itemEnded(), or with startNeeded() if the item is not repeatable and @ref startCommitted is false.
struct run_item
{
    std::uint32_t item = 0;
    bool startCommitted = false; ///< The job's row records that the item may have been sent.

    auto operator<=>(const run_item &) const = default;
};

/// Cancel an item in flight. The host still reports itemEnded().
struct cancel_item
{
    std::uint32_t item = 0;

    auto operator<=>(const cancel_item &) const = default;
};

/// Drop an item's input line from memory. The item is read again from its chunk and run later.
struct requeue_item
{
    std::uint32_t item = 0;

    auto operator<=>(const requeue_item &) const = default;
};

/// Why an item ends with an error without being run again.
enum class item_failure {
    Expired, ///< The completion window has passed.
    OutcomeUnknown, ///< The item is not repeatable, and an earlier coordinator may have sent it.
    LostRunLimitReached, ///< Too many runs were lost: each may have used an upstream's capacity without an answer.
    InputMissing, ///< The object with the item's part of the input file does not exist.
};

/// Create an error result for an item. The host answers with itemEnded() and item_outcome::Rejected.
struct fail_item
{
    std::uint32_t item = 0;
    item_failure reason = item_failure::Expired;

    auto operator<=>(const fail_item &) const = default;
};

/// Store the results of these items, answers in one object and errors in another, under outputObjectName() and
/// errorsObjectName() of the segment. The host answers with resultsStored() or storeUnavailable(). Requested again with
/// the same content until it is stored.
struct store_results
{
    job_segment segment;
    std::vector<std::uint32_t> answers;
    std::vector<std::uint32_t> errors;

    auto operator<=>(const store_results &) const = default;
};

/// Write the job's row if it still has this version. The host answers with committed(), commitRejected(),
/// storeUnavailable() if the commit certainly had no effect, or commitUnknown() if its outcome is not known. If the new
/// status is final, the same transaction removes the job from the index of active jobs.
struct commit_progress
{
    row_version version = 0;
    job_record record;

    auto operator<=>(const commit_progress &) const = default;
};

/// Read the job's row. The host answers with jobRead() or storeUnavailable().
struct read_job
{
    auto operator<=>(const read_job &) const = default;
};

/// Why a coordinator stopped working on a job.
enum class coordination_outcome {
    Finished, ///< The job has a final status.
    LeaseLost, ///< Another coordinator has taken the job over, or the job's row was deleted.
    Released, ///< This coordinator released the job so that another one can take it over.
};

/// The coordinator has finished its work on this job. The host cancels all items in flight and drops their state.
struct end_coordination
{
    coordination_outcome outcome = coordination_outcome::Finished;

    auto operator<=>(const end_coordination &) const = default;
};

/// An action that the host of a job_coordinator has to perform; the host performs them in the order returned.
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
