#pragma once

#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/job_item.h"
#include "banyan/core/serving/listed_result.h"
#include "banyan/core/time.h"
#include "banyan/io/async_event.h"
#include "banyan/io/serving/stop_signal.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace banyan {

/// The runs of an item at this node.
struct item_state
{
    stop_signal stop; ///< Of the current run.
    std::uint32_t runs = 0; ///< So far.
    std::vector<upstream_id> unknownUpstreams; ///< Granted, but not known here or draining.
    duration ranBefore{}; ///< Time that earlier runs have spent at upstreams.
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
    std::size_t itemsInFlight = 0; ///< At upstreams.
    bool stopped = false; ///< Ended, given back or taken over by another node.
    async_event changed;
};

} // namespace banyan
