#pragma once

#include "banyan/core/serving/item_checkpoint.h"
#include "banyan/core/serving/item_progress.h"
#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/job_item.h"
#include "banyan/core/serving/listed_result.h"
#include "banyan/core/time.h"
#include "banyan/io/async_event.h"
#include "banyan/io/serving/stop_signal.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// The runs of an item at this node.
struct item_state
{
    stop_signal stopSignal; ///< Of the current run.
    std::uint32_t runs = 0; ///< So far.
    std::vector<upstream_id> unusableUpstreams; ///< Granted, but not known here or draining.
    duration earlierRunTime{}; ///< Time that earlier runs have spent at upstreams.
    std::optional<time_point> sentAt; ///< While a run is at an upstream.
    std::optional<item_progress> progress; ///< Once it has been tried.
    std::optional<item_checkpoint> restored; ///< Stored by an earlier owner of the job.
    bool hasResult = false;
    std::uint64_t checkpointedEvent = 0; ///< Last event that is stored; 0 for none.
};

/// A job that this node runs.
struct running_job
{
    /// @p number tells it from an earlier running of the same job at this node, of which runs may still be ending.
    running_job(asio::io_context &context, job_entry stored, std::vector<job_item> jobItems, std::uint64_t number);

    /// The runs of an item; null if the job has none of that id.
    [[nodiscard]] item_state *find(const std::string &item);

    /// Makes items go on from what an earlier owner has stored.
    void restore(const std::vector<item_checkpoint> &checkpoints);

    /// How far the items have come that have no result and made progress since the last checkpoint.
    [[nodiscard]] std::vector<item_checkpoint> newCheckpoints(time_point now) const;

    /// Takes in that these checkpoints are stored.
    void recordCheckpoints(const std::vector<item_checkpoint> &checkpoints);

    /// Tokens of the items that have no result among the first @p count.
    [[nodiscard]] std::uint64_t tokensLeftAfter(std::size_t count) const;

    /// Stops all items in flight.
    void stop();

    job_entry entry;
    std::uint64_t serial;
    std::vector<job_item> items;
    std::vector<item_state> states; ///< One for each item.
    std::vector<listed_result> results; ///< In their positions; the first `listed` are recorded.
    std::size_t recordedCount = 0;
    bool stopped = false; ///< Ended, given back or taken over by another node.
    async_event changed;
};

} // namespace banyan
