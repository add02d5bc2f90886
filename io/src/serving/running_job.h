#pragma once

#include "banyan/core/serving/item_checkpoint.h"
#include "banyan/core/serving/item_progress.h"
#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/job_item.h"
#include "banyan/core/serving/listed_result.h"
#include "banyan/core/time.h"
#include "banyan/io/async_event.h"
#include "banyan/io/serving/stop_signal.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace banyan {

/// The runs of an item at this node.
struct item_state
{
    stop_signal stop; ///< Of the current run.
    std::uint32_t runs = 0; ///< So far.
    std::vector<upstream_id> unknownUpstreams; ///< Granted, but not known here or draining.
    duration ranBefore{}; ///< Time that earlier runs have spent at upstreams.
    std::optional<item_progress> progress; ///< Once it has been tried.
    std::optional<item_checkpoint> restored; ///< Stored by an earlier owner of the job.
    bool hasResult = false;
    std::uint64_t checkpointedEvent = 0; ///< Last event that is stored; 0 for none.
};

/// A job that this node runs.
struct running_job
{
    running_job(asio::io_context &context, job_entry stored, std::vector<job_item> jobItems, std::uint64_t number)
        : entry(std::move(stored))
        , serial(number)
        , items(std::move(jobItems))
        , states(items.size())
        , changed(context)
    {
    }

    /// Makes items go on from what an earlier owner has stored.
    void restore(const std::vector<item_checkpoint> &checkpoints)
    {
        for (const item_checkpoint &stored : checkpoints) {
            const auto found = std::find_if(items.begin(), items.end(), [&](const job_item &item) {
                return item.id == stored.item;
            });
            if (found != items.end()) {
                item_state &state = states[static_cast<std::size_t>(found - items.begin())];
                state.restored = stored;
                state.ranBefore = stored.ranBefore;
                state.checkpointedEvent = stored.lastEvent;
            }
        }
    }

    /// How far the items have come that have no result and made progress since the last checkpoint.
    [[nodiscard]] std::vector<item_checkpoint> newCheckpoints() const
    {
        std::vector<item_checkpoint> result;
        for (std::size_t index = 0; index < items.size(); ++index) {
            const item_state &state = states[index];
            const std::optional<std::uint64_t> last = state.progress ? state.progress->resumeAfter() : std::nullopt;
            if (last && *last > state.checkpointedEvent && !state.hasResult) {
                result.push_back(
                    {.item = items[index].id, .lastEvent = *last, .output = state.progress->output(), .ranBefore = state.ranBefore});
            }
        }
        return result;
    }

    /// Takes in that these checkpoints are stored.
    void checkpointed(const std::vector<item_checkpoint> &checkpoints)
    {
        for (const item_checkpoint &stored : checkpoints) {
            for (std::size_t index = 0; index < items.size(); ++index) {
                if (items[index].id == stored.item) {
                    states[index].checkpointedEvent = stored.lastEvent;
                }
            }
        }
    }

    /// Stops all items in flight.
    void stop()
    {
        stopped = true;
        for (item_state &state : states) {
            state.stop.stop();
        }
        changed.notify();
    }

    job_entry entry;
    std::uint64_t serial; ///< Tells it from an earlier running of the same job at this node, of which runs may still be ending.
    std::vector<job_item> items;
    std::vector<item_state> states; ///< One for each item.
    std::vector<listed_result> results; ///< In their positions; the first `listed` are recorded.
    std::size_t listed = 0;
    bool stopped = false; ///< Ended, given back or taken over by another node.
    async_event changed;
};

} // namespace banyan
