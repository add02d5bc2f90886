#include "listed_job_implementation.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"

namespace banyan {

namespace {

constexpr std::size_t maximumResultsPerTransaction = 20; // With the byte limit below, stays under the store's transaction limit.
constexpr std::size_t maximumResultBytesPerTransaction = std::size_t(500) << 10;

} // namespace

/// Assigns the next position to an item's result, which is listed once it is recorded.
void listed_job_service::implementation::finish(const job_pointer &job, std::size_t index, listed_result result)
{
    if (job->stopped) {
        return;
    }
    job->states[index].hasResult = true;
    job->states[index].wait.reset();
    job->add(std::move(result));
    job->changed.notify();
}

/// The results to be recorded next, as many as fit into one transaction.
std::vector<listed_result> listed_job_service::implementation::nextResults(const running_job &job)
{
    std::vector<listed_result> next;
    std::size_t bytes = 0;
    for (std::size_t index = job.recordedCount; index < job.results.size() && next.size() < maximumResultsPerTransaction; ++index) {
        bytes += job.results[index].output.size();
        if (!next.empty() && bytes > maximumResultBytesPerTransaction) {
            break;
        }
        next.push_back(job.results[index]);
    }
    return next;
}

task<> listed_job_service::implementation::recordResultsLoop(self_pointer self, job_pointer job)
{
    while (!job->stopped) {
        if (job->recordedCount == job->entry.total) {
            break;
        }
        if (job->recordedCount == job->results.size()) {
            co_await job->changed.wait();
            continue;
        }
        // Not in the condition itself: GCC 12 leaves a path unterminated if a condition of an if-else chain contains co_await.
        const bool recorded = co_await self->recordNextResults(job);
        if (!recorded) {
            co_await self->sleep(storeRetryDelay);
        }
    }
    if (!job->stopped) {
        self->stopJob(job, "complete");
    }
}

/// Records the next results. A transaction whose outcome is unknown is sent again, which is idempotent since positions and
/// contents are fixed. Returns false if the caller should wait before the next attempt.
task<bool> listed_job_service::implementation::recordNextResults(job_pointer job)
{
    std::vector<listed_result> next = nextResults(*job);
    const std::size_t count = next.size();
    job_entry entry = job->entry;
    entry.complete = job->recordedCount + count == entry.total;
    entry.tokensLeft = job->tokensLeftAfter(job->recordedCount + count);
    const bool entryChanged = entry.complete || quotaOf(entry.route) > 0;
    std::string failure;
    try {
        job_records::result_batch batch{.first = static_cast<std::uint32_t>(job->recordedCount),
                                        .results = std::move(next),
                                        .entryChanged = entryChanged,
                                        .checkpointedItems = checkpointedItems(*job, count)};
        const std::optional<row_version> version = co_await m_records.recordResults(entry, std::move(batch));
        if (version) {
            logEvent(log_level::Info,
                     "results_recorded",
                     {{"job", job->entry.id.text()},
                      {"first", std::to_string(job->recordedCount)},
                      {"count", std::to_string(count)},
                      {"job_version", std::to_string(entry.version)}});
            job->recordedCount += count;
            if (entryChanged) {
                entry.version = *version;
                job->entry = entry;
                recordFinishedTokens(entry);
                m_directory.update(entry);
            }
            co_return true;
        }
    } catch (const platform_unavailable &error) {
        failure = error.what();
    } catch (const platform_outcome_unknown &error) {
        failure = error.what();
    }
    if (failure.empty()) {
        co_await handleRowConflict(job);
    } else {
        logEvent(log_level::Warning,
                 "results_not_recorded",
                 {{"job", job->entry.id.text()}, {"first", std::to_string(job->recordedCount)}, {"reason", failure}});
    }
    co_return false;
}

/// Ids of the items among the next @p count results that have a stored checkpoint.
std::vector<std::string> listed_job_service::implementation::checkpointedItems(running_job &job, std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t position = job.recordedCount; position < job.recordedCount + count; ++position) {
        const item_state *const state = job.find(job.results[position].item);
        if (state != nullptr && state->checkpointedEvent > 0) {
            result.push_back(job.results[position].item);
        }
    }
    return result;
}

/// Stores checkpoints of the items periodically, so that the next owner of the job can resume them.
task<> listed_job_service::implementation::checkpointLoop(self_pointer self, job_pointer job)
{
    while (!job->stopped) {
        co_await self->sleep(self->m_options.checkpointInterval);
        std::vector<item_checkpoint> checkpoints = job->newCheckpoints(currentTime());
        if (job->stopped || checkpoints.empty()) {
            continue;
        }
        std::string failure;
        try {
            const std::optional<std::vector<item_checkpoint>> stored =
                co_await self->m_records.saveCheckpoints(job->entry, false, std::move(checkpoints));
            // Nothing is stored if the row has changed; recordResultsLoop detects that and handles it.
            job->recordCheckpoints(stored.value_or(std::vector<item_checkpoint>()));
        } catch (const platform_unavailable &error) {
            failure = error.what();
        } catch (const platform_outcome_unknown &error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            logEvent(log_level::Info, "job_checkpoint_failed", {{"job", job->entry.id.text()}, {"reason", failure}});
        }
    }
}

/// Handles a changed row of a job. Possible causes: the job was ended, another node took it over, or a transaction of this
/// node took effect although its answer was lost.
task<> listed_job_service::implementation::handleRowConflict(job_pointer job)
{
    try {
        const std::optional<job_entry> stored = co_await m_records.find(job->entry.id);
        if (job->stopped) {
            co_return;
        }
        if (!stored || !stored->isOpen() || stored->owner != m_options.self) {
            if (stored) {
                m_directory.update(*stored);
            }
            stopJob(job, stored ? (stored->complete ? "complete" : "taken_over_or_ended") : "removed");
            co_return;
        }
        job->entry = *stored;
        m_directory.update(*stored);
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Warning, "job_not_read", {{"job", job->entry.id.text()}, {"reason", error.what()}});
    }
}

} // namespace banyan
