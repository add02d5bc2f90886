#include "job_execution.h"

#include "banyan/core/item_result.h"
#include "banyan/core/part_splitter.h"
#include "banyan/core/record_error.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"
#include "job_rows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyan {

namespace {

constexpr duration longestSleep = std::chrono::seconds(60); ///< A wake-up cannot be taken back, so that none is far off.
constexpr unsigned firstErrorStatus = 400;

/// A run's end that another run may mend, in the coordinator's terms; none if the end is final.
std::optional<item_outcome> retryOutcome(const final_result &result, bool repeatable)
{
    if (result.reason == end_reason::CrashesUpstreams) {
        return std::nullopt;
    }
    if (result.what == disposition::NotRun) {
        return item_outcome::NotRun;
    }
    if (!repeatable) {
        return std::nullopt;
    }
    const bool mayHelp = result.what == disposition::OutcomeUnknown || result.what == disposition::Cancelled
                         || result.reason == end_reason::RetriesExhausted || result.reason == end_reason::AnswerLost;
    return mayHelp ? std::optional(item_outcome::Lost) : std::nullopt;
}

item_error errorOf(item_failure reason)
{
    switch (reason) {
    case item_failure::Expired:
        return {.code = "batch_expired", .message = "This item had no answer when the batch's completion window ended."};
    case item_failure::OutcomeUnknown:
        return {.code = "outcome_unknown", .message = "This item is not to be repeated; it may have run and its answer is lost."};
    case item_failure::LostRunLimitReached:
        return {.code = "retries_exhausted", .message = "Each try of this item was lost after it may have run."};
    case item_failure::InputMissing:
        return {.code = "input_missing", .message = "The input of this item cannot be read any more."};
    }
    return {.code = "unknown", .message = "unknown"};
}

bool belongsTo(const std::string &url, const std::string &endpoint)
{
    return url == endpoint || url.starts_with(endpoint + "/");
}

} // namespace

job_execution::job_execution(asio::io_context &context,
                             job_execution_parts parts,
                             job_record record,
                             row_version version,
                             const job_coordinator_options &options)
    : m_context(context)
    , m_parts(std::move(parts))
    , m_coordinator(std::move(record), version, options, m_parts.store.now())
    , m_owner(m_coordinator.record().owner)
{
    std::uint32_t first = 0;
    for (const std::uint32_t items : m_coordinator.record().itemsPerPart) {
        m_firstItems.push_back(first);
        first += items;
    }
}

time_point job_execution::now() const
{
    return m_parts.store.now();
}

void job_execution::start()
{
    perform(m_coordinator.start(now()));
}

void job_execution::cancelSeen()
{
    perform(m_coordinator.cancelRequested(now()));
}

void job_execution::leaseHeld(bool held)
{
    perform(m_coordinator.setLeaseHeld(held, now()));
}

void job_execution::release()
{
    perform(m_coordinator.release(now()));
}

void job_execution::abandon()
{
    m_ended = true;
    m_actions.clear();
    for (const auto &[item, held] : std::exchange(m_held, {})) {
        if (held.cancellation) {
            held.cancellation->cancel();
        }
    }
    m_chunks.clear();
    m_results.clear();
}

/// Carries actions out in order, also those that come up meanwhile.
void job_execution::perform(job_actions actions)
{
    std::move(actions.begin(), actions.end(), std::back_inserter(m_actions));
    if (m_performing) {
        return;
    }
    const auto self = shared_from_this();
    m_performing = true;
    while (!m_actions.empty() && !m_ended) {
        const job_action action = std::move(m_actions.front());
        m_actions.pop_front();
        performOne(action);
    }
    m_performing = false;
    scheduleTick();
}

void job_execution::performOne(const job_action &action)
{
    const auto self = shared_from_this();
    if (const auto *load = std::get_if<load_chunk>(&action)) {
        asio::co_spawn(m_context, loadChunk(self, load->chunk), asio::detached);
    } else if (const auto *forget = std::get_if<release_chunk>(&action)) {
        m_chunks.erase(forget->chunk);
    } else if (const auto *run = std::get_if<run_item>(&action)) {
        runItem(*run);
    } else if (const auto *cancel = std::get_if<cancel_item>(&action)) {
        const auto found = m_held.find(cancel->item);
        if (found != m_held.end() && found->second.cancellation) {
            found->second.cancellation->cancel();
        }
    } else if (const auto *back = std::get_if<requeue_item>(&action)) {
        m_held.erase(back->item);
    } else if (const auto *hopeless = std::get_if<fail_item>(&action)) {
        giveUp(*hopeless);
    } else if (const auto *results = std::get_if<store_results>(&action)) {
        asio::co_spawn(m_context, storeResults(self, *results), asio::detached);
    } else if (const auto *progress = std::get_if<commit_progress>(&action)) {
        asio::co_spawn(m_context, commit(self, *progress), asio::detached);
    } else if (std::holds_alternative<read_job>(action)) {
        asio::co_spawn(m_context, readJob(self), asio::detached);
    } else if (const auto *end = std::get_if<end_coordination>(&action)) {
        endCoordination(end->outcome);
    }
}

// Items

/// The line of an item that is held, or that is in a loaded chunk; empty if it cannot be had.
std::string job_execution::lineOf(std::uint32_t item) const
{
    const auto held = m_held.find(item);
    if (held != m_held.end()) {
        return held->second.line;
    }
    const auto after = std::upper_bound(m_firstItems.begin(), m_firstItems.end(), item);
    const auto chunk = static_cast<std::size_t>(std::distance(m_firstItems.begin(), after)) - 1;
    const auto loaded = m_chunks.find(chunk);
    if (loaded == m_chunks.end()) {
        return {};
    }
    const std::size_t position = item - m_firstItems[chunk];
    return position < loaded->second.lines.size() ? std::string(loaded->second.lines[position]) : std::string();
}

job_execution::held_item &job_execution::hold(std::uint32_t item)
{
    std::string line = lineOf(item);
    held_item &held = m_held[item];
    held.line = std::move(line);
    return held;
}

run_request job_execution::requestOf(const batch_item &item, std::uint32_t index) const
{
    if (!belongsTo(item.url, record().endpoint)) {
        throw item_rejected("mismatched_url", "expected a url of the batch's endpoint " + record().endpoint + ", found " + item.url);
    }
    run_request request = m_parts.buildRequest(record().caller, item);
    request.dispatch.id = request_id(itemId(record().id, index));
    request.dispatch.caller = record().caller;
    request.dispatch.workClass = work_class::Batch;
    request.dispatch.deadline = record().deadline;
    return request;
}

void job_execution::runItem(const run_item &action)
{
    held_item &held = hold(action.item);
    std::optional<run_request> request;
    try {
        request = requestOf(parseBatchItem(held.line), action.item);
    } catch (const item_rejected &error) {
        endItem(action.item, errorOf(action.item, error.code(), error.what()));
        return;
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "job_item_not_built", {{"job", record().id.text()}, {"error", error.what()}});
        endItem(action.item, {.end = {.outcome = item_outcome::NotRun}, .line = {}});
        return;
    }
    if (!request->dispatch.repeatable && !action.startCommitted) {
        perform(m_coordinator.startNeeded(action.item, now()));
        return;
    }
    held.cancellation = std::make_shared<run_cancellation>();
    ++m_parts.counters->itemsStarted;
    asio::co_spawn(m_context, performRun(shared_from_this(), action.item, *std::move(request), held.cancellation), asio::detached);
}

task<> job_execution::performRun(std::shared_ptr<job_execution> self,
                                 std::uint32_t item,
                                 run_request request,
                                 std::shared_ptr<run_cancellation> cancellation)
{
    const bool repeatable = request.dispatch.repeatable;
    const run_answer answer = co_await self->m_parts.run(std::move(request), cancellation);
    const auto held = self->m_held.find(item);
    if (self->m_ended || held == self->m_held.end() || held->second.cancellation != cancellation) {
        co_return;
    }
    held->second.cancellation.reset();
    self->endItem(item, self->resultOf(item, answer, repeatable));
}

job_execution::item_result_line job_execution::resultOf(std::uint32_t item, const run_answer &answer, bool repeatable) const
{
    if (answer.result.what == disposition::Completed) {
        const std::string line =
            answerLine(record().id,
                       item,
                       customIdOf(lineOf(item)),
                       {.status = answer.response.status, .requestId = itemId(record().id, item), .body = answer.response.body});
        const bool error = answer.response.status >= firstErrorStatus;
        return {.end = {.outcome = error ? item_outcome::Rejected : item_outcome::Answered, .bytes = line.size()}, .line = line};
    }
    if (const auto outcome = retryOutcome(answer.result, repeatable)) {
        return {.end = {.outcome = *outcome, .bytes = 0, .retryAfter = answer.result.retryAfter}, .line = {}};
    }
    const bool unknown = answer.result.what == disposition::OutcomeUnknown || answer.result.what == disposition::Cancelled;
    if (unknown) {
        const item_error error = banyan::errorOf(item_failure::OutcomeUnknown);
        return errorOf(item, error.code, error.message);
    }
    const std::string reason(toString(answer.result.reason));
    return errorOf(item, reason, "This item failed: " + reason + ".");
}

job_execution::item_result_line job_execution::errorOf(std::uint32_t item, const std::string &code, const std::string &message) const
{
    const std::string line = errorLine(record().id, item, customIdOf(lineOf(item)), {.code = code, .message = message});
    return {.end = {.outcome = item_outcome::Rejected, .bytes = line.size()}, .line = line};
}

void job_execution::giveUp(const fail_item &action)
{
    const item_error error = banyan::errorOf(action.reason);
    endItem(action.item, errorOf(action.item, error.code, error.message));
}

void job_execution::endItem(std::uint32_t item, item_result_line result)
{
    const bool final = result.end.outcome == item_outcome::Answered || result.end.outcome == item_outcome::Rejected;
    if (final) {
        m_held.erase(item);
        m_results[item] = std::move(result.line);
    }
    perform(m_coordinator.itemEnded(item, result.end, now()));
}

// Store

task<> job_execution::loadChunk(std::shared_ptr<job_execution> self, std::size_t chunk)
{
    std::optional<std::string> text;
    bool answered = false;
    try {
        text = co_await self->m_parts.store.getObject(partObjectName(self->record().inputFile, chunk));
        answered = true;
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "job_input_unavailable", {{"job", self->record().id.text()}, {"error", error.what()}});
    }
    if (self->m_ended) {
        co_return;
    }
    if (!answered) {
        self->perform(self->m_coordinator.chunkUnavailable(chunk, self->now()));
        co_return;
    }
    if (!text || describePart(*text).items != self->record().itemsPerPart[chunk]) {
        logEvent(log_level::Error, "job_input_missing", {{"job", self->record().id.text()}, {"part", std::to_string(chunk)}});
        self->perform(self->m_coordinator.chunkMissing(chunk, self->now()));
        co_return;
    }
    loaded_chunk &loaded = self->m_chunks[chunk];
    loaded.text = *std::move(text);
    loaded.lines = itemLines(loaded.text);
    self->perform(self->m_coordinator.chunkLoaded(chunk, self->now()));
}

std::string job_execution::joined(const std::vector<std::uint32_t> &items) const
{
    std::string lines;
    for (const std::uint32_t item : items) {
        lines += m_results.at(item);
    }
    return lines;
}

task<> job_execution::storeResults(std::shared_ptr<job_execution> self, store_results action)
{
    const job_id job = self->record().id;
    bool stored = false;
    try {
        if (!action.answers.empty()) {
            co_await self->m_parts.store.putObject(outputObjectName(job, action.segment), self->joined(action.answers));
        }
        if (!action.errors.empty() && !self->m_ended) {
            co_await self->m_parts.store.putObject(errorsObjectName(job, action.segment), self->joined(action.errors));
        }
        stored = true;
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "job_results_not_stored", {{"job", job.text()}, {"error", error.what()}});
    }
    if (self->m_ended) {
        co_return;
    }
    if (!stored) {
        self->perform(self->m_coordinator.storeUnavailable(self->now()));
        co_return;
    }
    for (const std::uint32_t item : action.answers) {
        self->m_results.erase(item);
    }
    for (const std::uint32_t item : action.errors) {
        self->m_results.erase(item);
    }
    self->perform(self->m_coordinator.resultsStored(self->now()));
}

task<> job_execution::commit(std::shared_ptr<job_execution> self, commit_progress action)
{
    const std::uint32_t before = self->record().done.size();
    const std::uint32_t after = action.record.done.size();
    job_actions next;
    try {
        const commit_result result = co_await self->m_parts.store.commit(changeJob(action.record, action.version, self->m_owner));
        if (self->m_ended) {
            co_return;
        }
        ++self->m_parts.counters->commits;
        if (result.committed) {
            self->m_parts.counters->itemsCommitted += after - before;
            next = self->m_coordinator.committed(result.version, self->now());
        } else {
            next = self->m_coordinator.commitRejected(self->now());
        }
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Warning, "job_commit_unavailable", {{"job", self->record().id.text()}, {"error", error.what()}});
        next = self->m_coordinator.storeUnavailable(self->now());
    } catch (const platform_outcome_unknown &error) {
        logEvent(log_level::Warning, "job_commit_unknown", {{"job", self->record().id.text()}, {"error", error.what()}});
        next = self->m_coordinator.commitUnknown(self->now());
    }
    if (!self->m_ended) {
        self->perform(std::move(next));
    }
}

task<> job_execution::readJob(std::shared_ptr<job_execution> self)
{
    std::optional<job_record> record;
    row_version version = 0;
    bool answered = false;
    try {
        const std::optional<row> found = co_await self->m_parts.store.read(jobKey(self->record().id));
        if (found) {
            record = job_record::fromJson(found->value);
            version = found->version;
        }
        answered = true;
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "job_read_failed", {{"job", self->record().id.text()}, {"error", error.what()}});
    }
    if (self->m_ended) {
        co_return;
    }
    self->perform(answered ? self->m_coordinator.jobRead(std::move(record), version, self->now())
                           : self->m_coordinator.storeUnavailable(self->now()));
}

void job_execution::endCoordination(coordination_outcome how)
{
    const job_id job = record().id;
    abandon();
    m_parts.ended(job, how);
}

// Time

void job_execution::scheduleTick()
{
    const std::optional<time_point> wanted = m_coordinator.nextWakeUp();
    if (m_ended || !wanted) {
        return;
    }
    const time_point when = std::min(*wanted, now() + longestSleep);
    if (m_wakeUp && *m_wakeUp <= when) {
        return;
    }
    m_wakeUp = when;
    m_parts.store.callAt(when, [weak = weak_from_this(), when] {
        if (const auto self = weak.lock()) {
            self->ticked(when);
        }
    });
}

void job_execution::ticked(time_point when)
{
    if (m_ended || m_wakeUp != when) {
        return;
    }
    m_wakeUp.reset();
    perform(m_coordinator.tick(now()));
}

} // namespace banyan
