#include "banyan/io/serving/listed_job_service.h"

#include "../task_group.h"
#include "banyan/core/serving/event_splitter.h"
#include "banyan/core/serving/item_progress.h"
#include "banyan/core/serving/job_directory.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_error.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/serving/slot_broker.h"
#include "banyan/io/serving/upstream_sender.h"
#include "job_records.h"
#include "running_job.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>

namespace banyan {

namespace {

constexpr duration tablePause = std::chrono::seconds(1); // An end that another node recorded is seen well within three seconds.
constexpr duration takeoverInterval = std::chrono::milliseconds(250); // Between two looks for jobs without an owner.
constexpr std::size_t takeoversAtOnce = 4; // Keeps a node from reading many jobs into memory at once.
constexpr duration sweepInterval = std::chrono::seconds(10); // Between two looks for jobs whose time is over.
constexpr duration storeRetryDelay = std::chrono::milliseconds(300);
constexpr duration readInterval = std::chrono::milliseconds(350); // Between two looks for a result that a reader waits for.
constexpr duration firstByteTimeout = std::chrono::seconds(3); // Of an item's run, which may queue at its upstream.
constexpr duration silenceTimeout = std::chrono::milliseconds(1500); // Many times the pause between two events of a slow upstream.
constexpr duration defaultRetention = std::chrono::hours(1); // Of a route that has none.
constexpr std::size_t resultsAtOnce = 20; // In one transaction; together below the store's limit.
constexpr std::size_t resultBytesAtOnce = std::size_t(500) << 10;
constexpr unsigned failedStatus = 500; // By which an upstream reports that the item itself has failed.
constexpr int attemptsToEnd = 4; // Of the conditional write, against other nodes' changes of the row.

/// What an attempt says of its item: only an upstream's own report of a failure speaks against it.
attempt_outcome outcomeOf(const attempt_report &report)
{
    const bool otherError = report.result.outcome == attempt_outcome::Failed && (!report.head || report.head->status != failedStatus);
    return otherError ? attempt_outcome::Lost : report.result.outcome;
}

} // namespace

class listed_job_service::implementation : public std::enable_shared_from_this<listed_job_service::implementation>
{
public:
    implementation(const listed_job_ports &ports, const listed_job_options &options)
        : m_ports(ports)
        , m_options(options)
        , m_records(ports.store)
        , m_directory({.self = options.self})
    {
    }

    void start();
    void configure(std::shared_ptr<const route_table> table)
    {
        m_table = std::move(table);
    }
    void setRegistered(const std::set<node_id> &nodes)
    {
        m_directory.setRegistered(nodes);
    }
    void heard(const node_id &node, time_point now)
    {
        m_directory.heard(node, now);
    }
    task<job_acceptance> accept(job_submission submission);
    task<job_results> results(job_id id, std::uint32_t after, duration wait);
    task<item_lookup> itemBody(job_id id, std::string item);
    task<lookup_state> end(job_id id);
    task<> handOver(duration time);
    [[nodiscard]] std::size_t running() const
    {
        return m_running.size();
    }

private:
    using job_pointer = std::shared_ptr<running_job>;
    using self_pointer = std::shared_ptr<implementation>;

    table_observer observer();
    void entryChanged(const job_entry &entry);
    void begin(const job_entry &entry,
               std::vector<job_item> items,
               std::vector<listed_result> listed,
               const std::vector<item_checkpoint> &checkpoints);
    void forget(const job_pointer &job, std::string_view how);

    static task<> takeOverLoop(self_pointer self);
    task<> lookForJobs();
    static task<> takeOver(self_pointer self, job_entry entry);
    static task<> sweepLoop(self_pointer self);
    static task<> runItem(self_pointer self, job_pointer job, std::size_t index);
    task<item_step> runOnce(job_pointer job, std::size_t index, const route &by, item_progress &progress);
    task<attempt_report> sendItem(job_pointer job, std::size_t index, const replica &upstream, item_progress &progress);
    void finish(const job_pointer &job, std::size_t index, listed_result result);
    static task<> listLoop(self_pointer self, job_pointer job);
    static task<> checkpointLoop(self_pointer self, job_pointer job);
    [[nodiscard]] static std::vector<std::string> checkpointedItems(const running_job &job, std::size_t count);
    task<bool> listNext(job_pointer job);
    task<> listRefused(job_pointer job);
    [[nodiscard]] static std::vector<listed_result> nextResults(const running_job &job);
    task<> sleep(duration time);
    [[nodiscard]] request_id slotId(const running_job &job, std::size_t index) const;
    task<std::optional<job_entry>> lookUp(job_id id);

    listed_job_ports m_ports;
    listed_job_options m_options;
    job_records m_records;
    job_directory m_directory;
    std::shared_ptr<const route_table> m_table;
    std::map<job_id, job_pointer> m_running;
    std::set<job_id> m_takingOver;
    bool m_handingOver = false;
    std::uint64_t m_begun = 0; ///< Jobs so far.
};

void listed_job_service::implementation::start()
{
    auto follower = std::make_shared<table_follower>(
        m_ports.context,
        m_ports.store,
        table_follower_options{.table = job_records::table(), .parts = job_records::parts(), .pause = tablePause},
        observer());
    asio::co_spawn(m_ports.context, follower->run(), [follower](const std::exception_ptr &) {});
    asio::co_spawn(m_ports.context, takeOverLoop(shared_from_this()), asio::detached);
    asio::co_spawn(m_ports.context, sweepLoop(shared_from_this()), asio::detached);
}

table_observer listed_job_service::implementation::observer()
{
    const auto take = [this](const table_row &row) {
        const std::optional<job_entry> entry = row.deleted ? std::nullopt : job_records::entryOf(row);
        if (entry) {
            entryChanged(*entry);
        } else if (row.deleted) {
            m_directory.removed(job_id(row.name.key));
        } else {
            logEvent(log_level::Warning, "job_row_malformed", {{"job", row.name.key}, {"version", std::to_string(row.version)}});
        }
    };
    table_observer result;
    result.onAll = [take](const std::vector<table_row> &rows) {
        std::for_each(rows.begin(), rows.end(), take);
    };
    result.onChange = take;
    return result;
}

/// Takes in a job's row; stops the job here if it is not this node's any more.
void listed_job_service::implementation::entryChanged(const job_entry &entry)
{
    m_directory.stored(entry);
    const auto running = m_running.find(entry.id);
    if (running == m_running.end() || running->second->entry.version >= entry.version) {
        return;
    }
    if (entry.ended || entry.owner != m_options.self) {
        forget(running->second, entry.ended ? "ended" : "taken_over");
    }
}

void listed_job_service::implementation::begin(const job_entry &entry,
                                               std::vector<job_item> items,
                                               std::vector<listed_result> listed,
                                               const std::vector<item_checkpoint> &checkpoints)
{
    if (m_running.contains(entry.id)) {
        return;
    }
    m_directory.stored(entry);
    auto job = std::make_shared<running_job>(m_ports.context, entry, std::move(items), ++m_begun);
    job->restore(checkpoints);
    std::set<std::string> done;
    for (const listed_result &result : listed) {
        done.insert(result.item);
    }
    job->results = std::move(listed);
    job->listed = job->results.size();
    m_running.emplace(entry.id, job);
    logEvent(log_level::Info,
             "job_begun",
             {{"job", entry.id.text()},
              {"version", std::to_string(entry.version)},
              {"items", std::to_string(job->items.size())},
              {"listed", std::to_string(job->listed)},
              {"checkpoints", std::to_string(checkpoints.size())}});
    for (std::size_t index = 0; index < job->items.size(); ++index) {
        if (!done.contains(job->items[index].id)) {
            asio::co_spawn(m_ports.context, runItem(shared_from_this(), job, index), asio::detached);
        }
    }
    asio::co_spawn(m_ports.context, listLoop(shared_from_this(), job), asio::detached);
    asio::co_spawn(m_ports.context, checkpointLoop(shared_from_this(), job), asio::detached);
}

void listed_job_service::implementation::forget(const job_pointer &job, std::string_view how)
{
    logEvent(log_level::Info,
             "job_left",
             {{"job", job->entry.id.text()},
              {"version", std::to_string(job->entry.version)},
              {"how", std::string(how)},
              {"listed", std::to_string(job->listed)}});
    job->stop();
    m_running.erase(job->entry.id);
}

task<job_acceptance> listed_job_service::implementation::accept(job_submission submission)
{
    if (m_running.contains(submission.id) || m_directory.find(submission.id) != nullptr) {
        co_return job_acceptance::Accepted;
    }
    job_entry entry{.id = submission.id,
                    .route = submission.route,
                    .host = submission.host,
                    .submittedAt = currentTime(),
                    .total = static_cast<std::uint32_t>(submission.items.size()),
                    .owner = m_options.self};
    job_acceptance acceptance = job_acceptance::Unknown;
    std::string reason;
    try {
        const std::optional<row_version> version = co_await m_records.create(entry, submission.items);
        acceptance = job_acceptance::Accepted;
        if (version) {
            entry.version = *version;
            begin(entry, std::move(submission.items), {}, {});
        }
    } catch (const platform_unavailable &error) {
        acceptance = job_acceptance::NotAccepted;
        reason = error.what();
    } catch (const platform_outcome_unknown &error) {
        reason = error.what();
    }
    if (acceptance == job_acceptance::Unknown) {
        // If the row is there, or comes later, the table's changes tell of it.
        try {
            const std::optional<job_entry> stored = co_await m_records.find(submission.id);
            acceptance = stored ? job_acceptance::Accepted : job_acceptance::Unknown;
        } catch (const platform_unavailable &error) {
            reason = error.what();
        }
    }
    logEvent(acceptance == job_acceptance::Accepted ? log_level::Info : log_level::Warning,
             "job_submitted",
             {{"job", submission.id.text()},
              {"route", submission.route},
              {"version", std::to_string(entry.version)},
              {"items", std::to_string(entry.total)},
              {"acceptance",
               acceptance == job_acceptance::Accepted ? "accepted" : (acceptance == job_acceptance::Unknown ? "unknown" : "not_accepted")},
              {"reason", reason}});
    co_return acceptance;
}

task<std::optional<job_entry>> listed_job_service::implementation::lookUp(job_id id)
{
    if (const job_entry *const known = m_directory.find(id)) {
        co_return *known;
    }
    co_return co_await m_records.find(id);
}

task<job_results> listed_job_service::implementation::results(job_id id, std::uint32_t after, duration wait)
{
    const time_point until = currentTime() + wait;
    job_results answer;
    try {
        const std::optional<job_entry> entry = co_await lookUp(id);
        if (!entry) {
            answer.state = lookup_state::Missing;
            co_return answer;
        }
        answer.total = entry->total;
        for (;;) {
            const auto running = m_running.find(id);
            if (running != m_running.end()) {
                const running_job &job = *running->second;
                for (std::size_t index = after; index < job.listed; ++index) {
                    answer.results.push_back(job.results[index]);
                }
            } else if (after < entry->total) {
                answer.results = co_await m_records.results(id, after);
            }
            answer.state = lookup_state::Found;
            if (!answer.results.empty() || after >= entry->total || currentTime() + readInterval > until) {
                co_return answer;
            }
            co_await sleep(readInterval);
        }
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Info, "job_not_read", {{"job", id.text()}, {"reason", error.what()}});
        answer.state = lookup_state::NotSure;
    }
    co_return answer;
}

task<item_lookup> listed_job_service::implementation::itemBody(job_id id, std::string item)
{
    item_lookup answer;
    try {
        std::vector<job_item> items;
        if (const auto running = m_running.find(id); running != m_running.end()) {
            items = running->second->items;
        } else {
            const std::optional<job_entry> entry = co_await lookUp(id);
            if (!entry) {
                answer.state = lookup_state::Missing;
                co_return answer;
            }
            items = co_await m_records.items(*entry);
        }
        const auto found = std::find_if(items.begin(), items.end(), [&](const job_item &candidate) {
            return candidate.id == item;
        });
        answer.state = found == items.end() ? lookup_state::Missing : lookup_state::Found;
        answer.body = found == items.end() ? std::string() : found->body;
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Info, "job_not_read", {{"job", id.text()}, {"reason", error.what()}});
    }
    co_return answer;
}

task<lookup_state> listed_job_service::implementation::end(job_id id)
{
    std::string reason;
    for (int attempt = 0; attempt < attemptsToEnd; ++attempt) {
        try {
            std::optional<job_entry> entry = co_await m_records.find(id);
            if (!entry) {
                co_return lookup_state::Missing;
            }
            if (!entry->isOpen()) {
                co_return lookup_state::Found;
            }
            entry->ended = true;
            if (const std::optional<row_version> version = co_await m_records.update(*entry)) {
                entry->version = *version;
                logEvent(log_level::Info, "job_end_recorded", {{"job", id.text()}, {"version", std::to_string(*version)}});
                entryChanged(*entry);
                co_return lookup_state::Found;
            }
        } catch (const platform_unavailable &error) {
            reason = error.what();
            break;
        } catch (const platform_outcome_unknown &error) {
            reason = error.what();
        }
    }
    logEvent(log_level::Warning, "job_end_not_recorded", {{"job", id.text()}, {"reason", reason}});
    co_return lookup_state::NotSure;
}

task<> listed_job_service::implementation::takeOverLoop(self_pointer self)
{
    while (!self->m_handingOver) {
        co_await self->sleep(takeoverInterval);
        co_await self->lookForJobs();
    }
}

task<> listed_job_service::implementation::lookForJobs()
{
    const time_point now = currentTime();
    std::vector<job_entry> wanted = m_directory.owned();
    std::erase_if(wanted, [&](const job_entry &entry) {
        return m_running.contains(entry.id);
    });
    const std::vector<job_entry> orphans = m_directory.toTakeOver(now);
    wanted.insert(wanted.end(), orphans.begin(), orphans.end());
    for (const job_entry &entry : wanted) {
        if (m_takingOver.size() >= takeoversAtOnce || m_handingOver) {
            break;
        }
        if (m_takingOver.insert(entry.id).second) {
            asio::co_spawn(m_ports.context, takeOver(shared_from_this(), entry), asio::detached);
        }
    }
    co_return;
}

/// Claims a job under the condition that its row has not changed, and runs what is not listed.
task<> listed_job_service::implementation::takeOver(self_pointer self, job_entry entry)
{
    std::string failure;
    try {
        bool isOwner = entry.owner == self->m_options.self;
        if (!isOwner) {
            const node_id before = entry.owner;
            entry.owner = self->m_options.self;
            const std::optional<row_version> version = co_await self->m_records.update(entry);
            isOwner = version.has_value();
            entry.version = version.value_or(entry.version);
            logEvent(log_level::Info,
                     "job_takeover",
                     {{"job", entry.id.text()},
                      {"from", before.text()},
                      {"version", std::to_string(entry.version)},
                      {"outcome", isOwner ? "taken" : "lost"}});
        }
        if (isOwner) {
            self->m_directory.stored(entry);
            std::vector<job_item> items = co_await self->m_records.items(entry);
            std::vector<listed_result> listed;
            for (bool more = true; more;) {
                const std::vector<listed_result> page =
                    co_await self->m_records.results(entry.id, static_cast<std::uint32_t>(listed.size()));
                more = !page.empty() && listed.size() + page.size() < entry.total;
                listed.insert(listed.end(), page.begin(), page.end());
            }
            const std::vector<item_checkpoint> checkpoints = co_await self->m_records.progress(entry.id);
            const job_entry *const known = self->m_directory.find(entry.id);
            if (!self->m_handingOver && known != nullptr && known->version == entry.version) {
                self->begin(entry, std::move(items), std::move(listed), checkpoints);
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
        for (const job_entry &entry : self->m_directory.olderThan(currentTime() - self->m_options.recordLifetime)) {
            if (entry.owner != self->m_options.self || self->m_running.contains(entry.id)) {
                continue;
            }
            std::string failure;
            try {
                co_await self->m_records.remove(entry);
                self->m_directory.removed(entry.id);
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

request_id listed_job_service::implementation::slotId(const running_job &job, std::size_t index) const
{
    return request_id(job.entry.id.text() + "/" + job.items[index].id + "#" + std::to_string(job.serial) + "."
                      + std::to_string(job.states[index].runs));
}

/// Runs an item until it has a result or the job is not this node's any more.
task<> listed_job_service::implementation::runItem(self_pointer self, job_pointer job, std::size_t index)
{
    item_state &state = job->states[index];
    while (!job->stopped && !self->m_handingOver) {
        const std::shared_ptr<const route_table> table = self->m_table;
        const route *const by = table ? table->named(job->entry.route) : nullptr;
        if (table && by == nullptr) {
            self->finish(job, index, {.item = job->items[index].id, .succeeded = false, .output = {}});
            co_return;
        }
        if (by == nullptr) {
            co_await self->sleep(storeRetryDelay);
            continue;
        }
        if (!state.progress) {
            const duration retention = by->retention > duration(0) ? by->retention : defaultRetention;
            state.progress.emplace(
                item_progress_options{.maximumFailures = by->maximumAttempts, .giveUpAt = job->entry.submittedAt + retention});
            if (state.restored) {
                state.progress->restore(*state.restored);
            }
        }
        const item_step step = co_await self->runOnce(job, index, *by, *state.progress);
        if (step != item_step::RunAgain) {
            const bool succeeded = step == item_step::Succeeded;
            self->finish(job, index, {.item = job->items[index].id, .succeeded = succeeded, .output = state.progress->output()});
            co_return;
        }
        if (state.progress->delay() > duration(0)) {
            co_await self->sleep(state.progress->delay());
        }
    }
}

/// One run of an item, from the wait for a slot to its end. Each run has a slot id of its own, since the release of one may
/// arrive after the claim of the next.
task<item_step> listed_job_service::implementation::runOnce(job_pointer job, std::size_t index, const route &by, item_progress &progress)
{
    item_state &state = job->states[index];
    ++state.runs;
    const request_id id = slotId(*job, index);
    slot_request request{.id = id,
                         .service = serviceFor(by, request_id(job->items[index].id)),
                         .workClass = work_class::Batch,
                         .priority = by.priority,
                         .arrivedAt = currentTime(),
                         .target = job->entry.submittedAt + by.completionWindow,
                         .deadline = job->entry.submittedAt + std::max(by.retention, by.completionWindow),
                         .repeatable = true,
                         .excluded = state.unknownUpstreams,
                         .ranBefore = state.ranBefore};
    // Each run has a stop of its own, since a run that gives its slot back goes on later.
    state.stop = stop_signal();
    auto onReclaim = [job, index] {
        job->states[index].stop.stop();
    };
    const slot_broker::slot_outcome outcome = co_await m_ports.slots.acquire(std::move(request), state.stop, std::move(onReclaim));
    const auto *const granted = std::get_if<slot_granted>(&outcome);
    if (granted == nullptr) {
        co_return item_step::RunAgain;
    }
    const upstream_id upstream = granted->upstream;
    const replica *const registered = m_ports.slots.scheduler().find(upstream);
    attempt_report report{.result = {.outcome = attempt_outcome::Cancelled}};
    const bool usable = registered != nullptr && !registered->draining;
    if (!usable) {
        state.unknownUpstreams.push_back(upstream);
    }
    if (usable && !job->stopped) {
        const time_point begunAt = currentTime();
        report = co_await sendItem(job, index, *registered, progress);
        state.ranBefore += currentTime() - begunAt;
    }
    attempt_result result = report.result;
    if (report.staleConnection) {
        result.outcome = attempt_outcome::Cancelled;
    }
    m_ports.slots.released(id, result);
    if (report.head && report.head->kind == answer_kind::WrongUpstream) {
        m_ports.slots.scheduler().addressReused(upstream);
    }
    const item_step step = progress.ended(outcomeOf(report), currentTime());
    if (report.result.outcome != attempt_outcome::Succeeded) {
        logEvent(log_level::Info,
                 "item_run_ended",
                 {{"job", job->entry.id.text()},
                  {"item", job->items[index].id},
                  {"upstream", upstream.text()},
                  {"status", std::to_string(report.head ? report.head->status : 0)},
                  {"error", report.error},
                  {"next", step == item_step::RunAgain ? "run_again" : (step == item_step::Errored ? "errored" : "succeeded")}});
    }
    job->changed.notify();
    co_return step;
}

task<attempt_report>
listed_job_service::implementation::sendItem(job_pointer job, std::size_t index, const replica &upstream, item_progress &progress)
{
    const job_item &item = job->items[index];
    upstream_run run{.id = request_id(item.id),
                     .upstream = upstream.id,
                     .address = upstream.address,
                     .method = "POST",
                     .target = item.path,
                     .host = job->entry.host,
                     .fields = {},
                     .body = item.body,
                     .resumeAfter = progress.resumeAfter(),
                     .timeLeft = std::nullopt};
    for (const auto &[name, value] : item.fields) {
        run.fields.push_back({.name = name, .value = value});
    }
    const request_id slot = slotId(*job, index);
    event_splitter splitter;
    attempt_observer observer;
    observer.onBody = [&](std::string_view piece) -> task<> {
        m_ports.slots.firstByte(slot);
        for (const stream_event &event : splitter.add(piece)) {
            if (!progress.event(event)) {
                throw http_error(sent_state::MaybeSent, false, "events are missing before event " + std::to_string(*event.id));
            }
        }
        co_return;
    };
    const http_client::stream_timeouts timeouts{.firstByte = firstByteTimeout, .silence = silenceTimeout};
    attempt_report report = co_await m_ports.sender.send(std::move(run), timeouts, std::move(observer), job->states[index].stop);
    if (report.result.outcome == attempt_outcome::Succeeded && splitter.hasPartialEvent()) {
        report.result.outcome = attempt_outcome::Lost;
        report.error = "the stream ended within an event";
    }
    co_return report;
}

/// Gives an item's result its position. It is listed once it is recorded.
void listed_job_service::implementation::finish(const job_pointer &job, std::size_t index, listed_result result)
{
    if (job->stopped) {
        return;
    }
    job->states[index].hasResult = true;
    job->results.push_back(std::move(result));
    job->changed.notify();
}

/// The results to be recorded next, as many as one transaction takes.
std::vector<listed_result> listed_job_service::implementation::nextResults(const running_job &job)
{
    std::vector<listed_result> next;
    std::size_t bytes = 0;
    for (std::size_t index = job.listed; index < job.results.size() && next.size() < resultsAtOnce; ++index) {
        bytes += job.results[index].output.size();
        if (!next.empty() && bytes > resultBytesAtOnce) {
            break;
        }
        next.push_back(job.results[index]);
    }
    return next;
}

task<> listed_job_service::implementation::listLoop(self_pointer self, job_pointer job)
{
    while (!job->stopped) {
        if (job->listed == job->entry.total) {
            break;
        }
        if (job->listed == job->results.size()) {
            co_await job->changed.wait();
            continue;
        }
        // GCC 12 leaves a path without an end where a condition of a chain awaits.
        const bool recorded = co_await self->listNext(job);
        if (!recorded) {
            co_await self->sleep(storeRetryDelay);
        }
    }
    if (!job->stopped) {
        self->forget(job, "complete");
    }
}

/// Records the next results. A transaction whose outcome is unknown is sent again: positions and contents are fixed, so
/// that it makes no difference whether it takes effect once or twice. Returns false if the store has to be left alone for
/// a while.
task<bool> listed_job_service::implementation::listNext(job_pointer job)
{
    std::vector<listed_result> next = nextResults(*job);
    const std::size_t count = next.size();
    job_entry entry = job->entry;
    entry.complete = job->listed + count == entry.total;
    std::string failure;
    try {
        job_records::result_batch batch{
            .first = static_cast<std::uint32_t>(job->listed), .results = std::move(next), .checkpointed = checkpointedItems(*job, count)};
        const std::optional<row_version> version = co_await m_records.list(entry, std::move(batch));
        if (version) {
            logEvent(log_level::Info,
                     "results_recorded",
                     {{"job", job->entry.id.text()},
                      {"first", std::to_string(job->listed)},
                      {"count", std::to_string(count)},
                      {"job_version", std::to_string(entry.version)}});
            job->listed += count;
            if (entry.complete) {
                entry.version = *version;
                job->entry = entry;
                m_directory.stored(entry);
            }
            co_return true;
        }
    } catch (const platform_unavailable &error) {
        failure = error.what();
    } catch (const platform_outcome_unknown &error) {
        failure = error.what();
    }
    if (failure.empty()) {
        co_await listRefused(job);
    } else {
        logEvent(log_level::Warning,
                 "results_not_recorded",
                 {{"job", job->entry.id.text()}, {"first", std::to_string(job->listed)}, {"reason", failure}});
    }
    co_return false;
}

/// Those of the next results to be recorded of which a checkpoint is stored.
std::vector<std::string> listed_job_service::implementation::checkpointedItems(const running_job &job, std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t position = job.listed; position < job.listed + count; ++position) {
        for (std::size_t index = 0; index < job.items.size(); ++index) {
            if (job.items[index].id == job.results[position].item && job.states[index].checkpointedEvent > 0) {
                result.push_back(job.items[index].id);
            }
        }
    }
    return result;
}

/// Stores now and then how far the items have come, so that the next owner need not begin at their start.
task<> listed_job_service::implementation::checkpointLoop(self_pointer self, job_pointer job)
{
    while (!job->stopped) {
        co_await self->sleep(self->m_options.checkpointInterval);
        const std::vector<item_checkpoint> checkpoints = job->newCheckpoints();
        if (job->stopped || checkpoints.empty()) {
            continue;
        }
        std::string failure;
        try {
            const std::optional<row_version> version = co_await self->m_records.saveProgress(job->entry, false, checkpoints);
            if (version) {
                job->checkpointed(checkpoints);
            }
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

/// The job's row has changed: by its end, by another owner, or by a transaction of ours whose answer was lost.
task<> listed_job_service::implementation::listRefused(job_pointer job)
{
    try {
        const std::optional<job_entry> stored = co_await m_records.find(job->entry.id);
        if (job->stopped) {
            co_return;
        }
        if (!stored || !stored->isOpen() || stored->owner != m_options.self) {
            if (stored) {
                m_directory.stored(*stored);
            }
            forget(job, stored ? (stored->complete ? "complete" : "taken_over_or_ended") : "removed");
            co_return;
        }
        job->entry = *stored;
        m_directory.stored(*stored);
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Warning, "job_not_read", {{"job", job->entry.id.text()}, {"reason", error.what()}});
    }
}

task<> listed_job_service::implementation::handOver(duration time)
{
    m_handingOver = true;
    const time_point until = currentTime() + time;
    // Items in flight are not waited for: the next owner goes on from their checkpoints, while the others would stand still.
    const auto unrecorded = [this] {
        return std::any_of(m_running.begin(), m_running.end(), [](const auto &entry) {
            return entry.second->listed < entry.second->results.size();
        });
    };
    while (unrecorded() && currentTime() < until) {
        co_await sleep(std::chrono::milliseconds(50));
    }
    const std::map<job_id, job_pointer> left = m_running;
    for (const auto &[id, job] : left) {
        job_entry entry = job->entry;
        entry.owner = node_id();
        std::vector<item_checkpoint> checkpoints = job->newCheckpoints();
        forget(job, "given_back");
        std::string failure;
        try {
            co_await m_records.saveProgress(entry, true, std::move(checkpoints));
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

task<> listed_job_service::implementation::sleep(duration time)
{
    asio::steady_timer timer(m_ports.context, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

listed_job_service::listed_job_service(const listed_job_ports &ports, const listed_job_options &options)
    : m_implementation(std::make_shared<implementation>(ports, options))
{
}

listed_job_service::~listed_job_service() = default;

void listed_job_service::start()
{
    m_implementation->start();
}

void listed_job_service::configure(std::shared_ptr<const route_table> table)
{
    m_implementation->configure(std::move(table));
}

void listed_job_service::setRegistered(const std::set<node_id> &nodes)
{
    m_implementation->setRegistered(nodes);
}

void listed_job_service::heard(const node_id &node, time_point now)
{
    m_implementation->heard(node, now);
}

task<job_acceptance> listed_job_service::accept(job_submission submission)
{
    return m_implementation->accept(std::move(submission));
}

task<job_results> listed_job_service::results(job_id id, std::uint32_t after, duration wait)
{
    return m_implementation->results(std::move(id), after, wait);
}

task<item_lookup> listed_job_service::itemBody(job_id id, std::string item)
{
    return m_implementation->itemBody(std::move(id), std::move(item));
}

task<lookup_state> listed_job_service::end(job_id id)
{
    return m_implementation->end(std::move(id));
}

task<> listed_job_service::handOver(duration time)
{
    return m_implementation->handOver(time);
}

std::size_t listed_job_service::running() const
{
    return m_implementation->running();
}

} // namespace banyan
