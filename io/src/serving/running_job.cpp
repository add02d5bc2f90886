#include "running_job.h"

#include <algorithm>
#include <set>
#include <utility>

namespace banyan {

std::size_t heldBytes(const std::vector<job_item> &items)
{
    constexpr std::size_t ownBytes = 1024; // Of an item's state.
    constexpr std::size_t copies = 2;
    std::size_t bytes = 0;
    for (const job_item &item : items) {
        bytes += ownBytes + copies * item.body.size();
        for (const auto &[name, value] : item.fields) {
            bytes += copies * (name.size() + value.size());
        }
    }
    return bytes;
}

running_job::running_job(asio::io_context &context, job_entry stored, std::vector<job_item> jobItems, std::uint64_t number)
    : entry(std::move(stored))
    , serial(number)
    , items(std::move(jobItems))
    , states(items.size())
    , changed(context)
{
}

void running_job::add(listed_result result)
{
    held.charge(held.bytes() + result.output.size());
    results.push_back(std::move(result));
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
            state->earlierRunTime = stored.ranBefore;
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
            result.push_back({.item = items[index].id,
                              .lastEvent = *last,
                              .output = state.progress->output(),
                              .ranBefore = state.earlierRunTime + running,
                              .origin = state.progress->origin()});
        }
    }
    return result;
}

void running_job::recordCheckpoints(const std::vector<item_checkpoint> &checkpoints)
{
    for (const item_checkpoint &stored : checkpoints) {
        if (item_state *const state = find(stored.item)) {
            state->checkpointedEvent = stored.lastEvent;
        }
    }
}

std::uint64_t running_job::tokensLeftAfter(std::size_t count) const
{
    std::set<std::string> done;
    for (std::size_t position = 0; position < count; ++position) {
        done.insert(results[position].item);
    }
    std::uint64_t tokens = 0;
    for (const job_item &item : items) {
        tokens += done.contains(item.id) ? 0 : item.tokens;
    }
    return tokens;
}

void running_job::stop()
{
    stopped = true;
    for (item_state &state : states) {
        state.stopSignal.stop();
    }
    changed.notify();
}

} // namespace banyan
