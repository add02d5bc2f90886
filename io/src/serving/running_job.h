#pragma once

#include "banyan/core/byte_share.h"
#include "banyan/core/serving/item_checkpoint.h"
#include "banyan/core/serving/item_progress.h"
#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/job_item.h"
#include "banyan/core/serving/listed_result.h"
#include "banyan/core/time.h"
#include "banyan/io/async_event.h"
#include "banyan/io/serving/stop_signal.h"
#include "item_wait.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// The state of an item at the node that runs its job.
struct item_state
{
    stop_signal stopSignal; ///< Stops the current run.
    std::uint32_t runs = 0; ///< Number of runs so far, including the current one.
    std::vector<upstream_id> unusableUpstreams; ///< Granted before, but unknown to this node or draining; excluded from claims.
    duration earlierRunTime{}; ///< Total time that earlier runs have spent at upstreams.
    std::optional<time_point> sentAt; ///< When the current run was sent to its upstream; empty while there is none.
    std::optional<item_progress> progress; ///< Set when the item is run for the first time.
    std::optional<item_checkpoint> restored; ///< Checkpoint stored by an earlier owner of the job.
    std::optional<item_wait> wait; ///< Empty while the item has a slot, and before its first claim.
    bool isClaiming = false; ///< Whether a claim waits for a slot.
    bool hasResult = false;
    std::uint64_t checkpointedEvent = 0; ///< Id of the last event in the stored checkpoint; 0 for none.
};

/// Bytes that items take while their job runs, with their copies on the way to an upstream.
[[nodiscard]] std::size_t heldBytes(const std::vector<job_item> &items);

/// A job that this node runs, with the state of its items and the results so far.
struct running_job
{
    /// @p number distinguishes it from an earlier execution of the same job at this node, whose runs may not have ended yet.
    running_job(asio::io_context &context, job_entry stored, std::vector<job_item> jobItems, std::uint64_t number);

    /// The state of an item; null if the job has no item of that id.
    [[nodiscard]] item_state *find(const std::string &item);

    /// Sets the checkpoints of an earlier owner, from which items resume.
    void restore(const std::vector<item_checkpoint> &checkpoints);

    /// Checkpoints of the items that have no result and have made progress since their last stored checkpoint.
    [[nodiscard]] std::vector<item_checkpoint> newCheckpoints(time_point now) const;

    /// Records that these checkpoints are stored.
    void recordCheckpoints(const std::vector<item_checkpoint> &checkpoints);

    /// Total tokens of the items that have no result among the first @p count results.
    [[nodiscard]] std::uint64_t tokensLeftAfter(std::size_t count) const;

    /// Appends a result.
    void add(listed_result result);

    /// Stops the job and all its items in flight.
    void stop();

    job_entry entry;
    std::uint64_t serial; ///< Serial number of this execution at the node; part of the slot ids of its runs.
    std::vector<job_item> items;
    std::vector<item_state> states; ///< One element for each item, in the order of @p items.
    std::vector<listed_result> results; ///< In the order of their positions; the first @p recordedCount are recorded.
    byte_share held; ///< Of the items and results.
    std::size_t recordedCount = 0; ///< Number of results that are recorded in the store, and so listed.
    bool stopped = false; ///< Whether the job was completed, ended, released or taken over by another node.
    async_event changed; ///< Notified when a result is added, a run ends or the job is stopped.
};

} // namespace banyan
