#include "running_job.h"

#include <algorithm>
#include <utility>

namespace banyan {

running_job::running_job(asio::io_context &context, job_entry stored, std::vector<job_item> jobItems, std::uint64_t number)
    : entry(std::move(stored))
    , serial(number)
    , items(std::move(jobItems))
    , states(items.size())
    , changed(context)
{
}

item_state *running_job::find(const std::string &item)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const job_item &candidate) {
        return candidate.id == item;
    });
    return found == items.end() ? nullptr : &states[static_cast<std::size_t>(found - items.begin())];
}

void running_job::restore(const std::vector<item_checkpoint> &checkpoints)
{
    for (const item_checkpoint &stored : checkpoints) {
        if (item_state *const state = find(stored.item)) {
            state->restored = stored;
            state->ranBefore = stored.ranBefore;
            state->checkpointedEvent = stored.lastEvent;
        }
    }
}

std::vector<item_checkpoint> running_job::newCheckpoints(time_point now) const
{
    std::vector<item_checkpoint> result;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const item_state &state = states[index];
        const std::optional<std::uint64_t> last = state.progress ? state.progress->resumeAfter() : std::nullopt;
        if (last && *last > state.checkpointedEvent && !state.hasResult) {
            const duration running = state.sentAt ? now - *state.sentAt : duration(0);
            result.push_back(
                {.item = items[index].id, .lastEvent = *last, .output = state.progress->output(), .ranBefore = state.ranBefore + running});
        }
    }
    return result;
}

void running_job::checkpointed(const std::vector<item_checkpoint> &checkpoints)
{
    for (const item_checkpoint &stored : checkpoints) {
        if (item_state *const state = find(stored.item)) {
            state->checkpointedEvent = stored.lastEvent;
        }
    }
}

void running_job::stop()
{
    stopped = true;
    for (item_state &state : states) {
        state.stop.stop();
    }
    changed.notify();
}

} // namespace banyan
