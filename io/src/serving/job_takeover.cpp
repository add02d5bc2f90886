#include "listed_job_implementation.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr duration takeoverInterval = std::chrono::milliseconds(250); // Between two checks for jobs to take over.
constexpr duration suspensionThreshold = std::chrono::seconds(1); // A check that is this late means that the process was suspended.
constexpr std::size_t maximumConcurrentTakeovers = 4; // Limits how many jobs a node reads into memory at the same time.
constexpr int maximumReleaseAttempts = 3; // A results transaction in progress can change the job's row, so that the release fails.
constexpr duration handOverPollInterval = std::chrono::milliseconds(50); // Between two checks whether all results are recorded.
constexpr duration sweepInterval = std::chrono::seconds(10); // Between two searches for jobs whose record lifetime is over.

} // namespace

task<> listed_job_service::implementation::takeOverLoop(self_pointer self)
{
    while (!self->m_handingOver) {
        co_await self->sleep(takeoverInterval);
        co_await self->startTakeovers();
    }
}

task<> listed_job_service::implementation::startTakeovers()
{
    const time_point now = currentTime();
    if (now - std::exchange(m_takeoversCheckedAt, now) > takeoverInterval + suspensionThreshold) {
        m_directory.resumed(now);
    }
    std::vector<job_entry> candidates = m_directory.owned();
    std::erase_if(candidates, [&](const job_entry &entry) {
        return m_running.contains(entry.id);
    });
    const std::vector<job_entry> orphans = m_directory.dueForTakeover(now);
    candidates.insert(candidates.end(), orphans.begin(), orphans.end());
    for (const job_entry &entry : candidates) {
        if (m_takingOver.size() >= maximumConcurrentTakeovers || m_handingOver) {
            break;
        }
        if (m_takingOver.insert(entry.id).second) {
            asio::co_spawn(m_ports.context, takeOver(shared_from_this(), entry), asio::detached);
        }
    }
    co_return;
}

/// Takes ownership of a job if its row has not changed, and runs the items that have no recorded result.
task<> listed_job_service::implementation::takeOver(self_pointer self, job_entry entry)
{
    std::string failure;
    try {
        bool isOwner = entry.owner == self->m_options.self;
        if (!isOwner) {
            const node_id previousOwner = entry.owner;
            entry.owner = self->m_options.self;
            const std::optional<row_version> version = co_await self->m_records.update(entry);
            isOwner = version.has_value();
            entry.version = version.value_or(entry.version);
            logEvent(log_level::Info,
                     "job_takeover",
                     {{"job", entry.id.text()},
                      {"from", previousOwner.text()},
                      {"version", std::to_string(entry.version)},
                      {"outcome", isOwner ? "taken" : "lost"}});
        }
        if (isOwner) {
            self->m_directory.update(entry);
            std::vector<job_item> items = co_await self->m_records.items(entry);
            std::vector<listed_result> listed;
            for (bool more = true; more;) {
                const std::vector<listed_result> page =
                    co_await self->m_records.results(entry.id, static_cast<std::uint32_t>(listed.size()));
                more = !page.empty() && listed.size() + page.size() < entry.total;
                listed.insert(listed.end(), page.begin(), page.end());
            }
            const std::vector<item_checkpoint> checkpoints = co_await self->m_records.checkpoints(entry.id);
            const job_entry *const known = self->m_directory.find(entry.id);
            if (!self->m_handingOver && known != nullptr && known->version == entry.version) {
                self->startJob(entry, std::move(items), std::move(listed), checkpoints);
            }
        }
    } catch (const platform_unavailable &error) {
        failure = error.what();
    } catch (const platform_outcome_unknown &error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        logEvent(log_level::Warning, "job_takeover_failed", {{"job", entry.id.text()}, {"reason", failure}});
        co_await self->sleep(storeRetryDelay);
    }
    self->m_takingOver.erase(entry.id);
}

task<> listed_job_service::implementation::sweepLoop(self_pointer self)
{
    while (!self->m_handingOver) {
        co_await self->sleep(sweepInterval);
        for (const job_entry &entry : self->m_directory.submittedBefore(currentTime() - self->m_options.recordLifetime)) {
            if (entry.owner != self->m_options.self || self->m_running.contains(entry.id)) {
                continue;
            }
            std::string failure;
            try {
                co_await self->m_records.remove(entry);
                self->m_directory.remove(entry.id);
            } catch (const platform_unavailable &error) {
                failure = error.what();
            } catch (const platform_outcome_unknown &error) {
                failure = error.what();
            }
            if (!failure.empty()) {
                logEvent(log_level::Warning, "job_not_removed", {{"job", entry.id.text()}, {"reason", failure}});
            }
        }
    }
}

task<> listed_job_service::implementation::handOver(duration time)
{
    m_handingOver = true;
    const time_point until = currentTime() + time;
    // Items in flight are not waited for: the next owner resumes them from their checkpoints, while waiting would delay all others.
    const auto unrecorded = [this] {
        return std::any_of(m_running.begin(), m_running.end(), [](const auto &entry) {
            return entry.second->recordedCount < entry.second->results.size();
        });
    };
    while (unrecorded() && currentTime() < until) {
        co_await sleep(handOverPollInterval);
    }
    const std::map<job_id, job_pointer> remaining = m_running;
    for (const auto &[id, job] : remaining) {
        std::vector<item_checkpoint> checkpoints = job->newCheckpoints(currentTime());
        stopJob(job, "given_back");
        std::string failure;
        try {
            failure = co_await releaseOwnership(job->entry, std::move(checkpoints));
        } catch (const platform_unavailable &error) {
            failure = error.what();
        } catch (const platform_outcome_unknown &error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            logEvent(log_level::Warning, "job_not_given_back", {{"job", id.text()}, {"reason", failure}});
        }
    }
}

/// Removes the owner of a job, so that any node may take it over. Tries again if results that were being recorded have changed
/// the row. Returns the reason of a failure, or an empty text.
task<std::string> listed_job_service::implementation::releaseOwnership(job_entry entry, std::vector<item_checkpoint> checkpoints)
{
    for (int attempt = 0; attempt < maximumReleaseAttempts; ++attempt) {
        entry.owner = node_id();
        const auto stored = co_await m_records.saveCheckpoints(entry, true, checkpoints);
        if (stored) {
            co_return std::string();
        }
        const std::optional<job_entry> changed = co_await m_records.find(entry.id);
        if (!changed || !changed->isOpen() || changed->owner != m_options.self) {
            co_return std::string("its row has changed");
        }
        entry = *changed;
    }
    co_return std::string("its row has changed several times");
}

} // namespace banyan
