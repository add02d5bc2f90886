#pragma once

#include "banyan/core/serving/job_entry.h"
#include "banyan/core/serving/job_item.h"
#include "banyan/core/serving/listed_result.h"
#include "banyan/io/async_event.h"
#include "banyan/io/serving/stop_signal.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace banyan {

/// A job that this node runs.
struct running_job
{
    running_job(asio::io_context &context, job_entry stored, std::vector<job_item> jobItems, std::uint64_t number)
        : entry(std::move(stored))
        , serial(number)
        , items(std::move(jobItems))
        , stops(items.size())
        , runs(items.size())
        , unknownUpstreams(items.size())
        , changed(context)
    {
    }

    /// Stops all items in flight.
    void stop()
    {
        stopped = true;
        for (stop_signal &signal : stops) {
            signal.stop();
        }
        changed.notify();
    }

    job_entry entry;
    std::uint64_t serial; ///< Tells it from an earlier running of the same job at this node, of which runs may still be ending.
    std::vector<job_item> items;
    std::vector<stop_signal> stops; ///< One for each item.
    std::vector<std::uint32_t> runs; ///< Of each item, so far.
    std::vector<std::vector<upstream_id>> unknownUpstreams; ///< Of each item: granted, but not known here or draining.
    std::vector<listed_result> results; ///< In their positions; the first `listed` are recorded.
    std::size_t listed = 0;
    std::size_t itemsInFlight = 0; ///< At upstreams.
    bool stopped = false; ///< Ended, given back or taken over by another node.
    async_event changed;
};

} // namespace banyan
