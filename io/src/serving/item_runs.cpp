#include "listed_job_implementation.h"

#include "banyan/core/serving/event_splitter.h"
#include "banyan/core/serving/run_id.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_error.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/serving/part_watch.h"
#include "banyan/io/serving/request_relay.h"
#include "banyan/io/serving/slot_broker.h"
#include "banyan/io/serving/upstream_sender.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

constexpr duration firstByteTimeout = std::chrono::seconds(3); // Allows for queueing of the run at its upstream.
constexpr duration silenceTimeout = std::chrono::milliseconds(1500); // Many times the interval between two events of a slow upstream.
constexpr std::size_t maximumOutputBytes = std::size_t(4) << 20; // Per item, so that its result fits into transactions of the store.
constexpr duration defaultRetention = std::chrono::hours(1); // For routes that set no retention.
constexpr duration stoppedPartDelay = std::chrono::seconds(1); // Between two looks at whether a part of the prompt is still stopped.
constexpr std::uint32_t eventsOfBegunAnswer = 2; // After which the crash of an upstream is not blamed on the item's prompt.
constexpr std::uint64_t maximumStatedTokens = 1U << 30U; // Beyond any model, within the range of messages.
constexpr unsigned failedStatus = 500; // With this status an upstream reports that the item itself has failed.

/// The outcome of an attempt as far as the item is concerned. Only a failure that the upstream itself reports for the item counts
/// as Failed; other errors count as Lost.
attempt_outcome outcomeOf(const attempt_report &report)
{
    const bool otherError = report.result.outcome == attempt_outcome::Failed && (!report.head || report.head->status != failedStatus);
    return otherError ? attempt_outcome::Lost : report.result.outcome;
}

/// Why a stream that HTTP takes for complete is not known to be; empty if it is. A result is recorded for good, so that only proof
/// counts.
std::string doubtAboutEnd(const event_splitter &splitter, const answer_head &head)
{
    if (splitter.hasPartialEvent()) {
        return "the stream ended within an event";
    }
    return provesEnd(head.framing) ? std::string() : "nothing marks the end of the stream";
}

/// The key of a job in claims for slots; never 0.
std::uint64_t originOf(const job_id &job)
{
    return std::max<std::uint64_t>(1, XXH3_64bits(job.text().data(), job.text().size()));
}

bool isUsable(const replica *upstream)
{
    return upstream != nullptr && !upstream->draining;
}

} // namespace

std::vector<http_field> listed_job_service::implementation::fieldsOf(const job_item &item)
{
    std::vector<http_field> fields;
    fields.reserve(item.fields.size());
    for (const auto &[name, value] : item.fields) {
        fields.push_back({.name = name, .value = value});
    }
    return fields;
}

prompt_run listed_job_service::implementation::promptRunOf(const job_item &item) const
{
    return {.content = request_relay::fingerprint(item.path, item.body), .parts = m_ports.sender.sharedParts(fieldsOf(item))};
}

/// The organisation's priority goes before the route's.
std::uint32_t listed_job_service::implementation::priorityOf(const job_entry &entry, const route &jobRoute) const
{
    const organisation *const submitter = m_table ? m_table->findOrganisation(entry.organisation) : nullptr;
    return submitter == nullptr ? jobRoute.priority : submitter->priority.value_or(jobRoute.priority);
}

/// The size that the item's fields state; else all its tokens, which may be of the prompt or of the output.
request_size listed_job_service::implementation::sizeOf(const job_item &item) const
{
    const request_size stated = m_ports.sender.statedSize(fieldsOf(item));
    if (stated != request_size()) {
        return stated;
    }
    return {.maximumOutputTokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(item.tokens, maximumStatedTokens))};
}

request_id listed_job_service::implementation::slotId(const running_job &job, std::size_t index) const
{
    return runId(job.entry.id.text() + "/" + job.items[index].id, job.serial, job.states[index].runs);
}

/// Runs an item until it has a result or this node stops running the job.
task<> listed_job_service::implementation::runItem(self_pointer self, job_pointer job, std::size_t index)
{
    item_state &state = job->states[index];
    while (!job->stopped && !self->m_handingOver) {
        const std::shared_ptr<const route_table> table = self->m_table;
        const route *const jobRoute = table ? table->findByName(job->entry.route) : nullptr;
        if (table && jobRoute == nullptr) {
            self->finish(job, index, {.item = job->items[index].id, .succeeded = false, .output = {}});
            co_return;
        }
        if (jobRoute == nullptr) {
            co_await self->sleep(storeRetryDelay);
            continue;
        }
        const duration retention = jobRoute->retention > duration(0) ? jobRoute->retention : defaultRetention;
        const item_progress_options options{.maximumFailures = jobRoute->maximumAttempts, .expiresAt = job->entry.submittedAt + retention};
        if (state.progress) {
            state.progress->setOptions(options);
        } else {
            state.progress.emplace(options);
            if (state.restored) {
                state.progress->restore(*state.restored);
            }
        }
        if (self->m_ports.parts.stoppedUntil(self->promptRunOf(job->items[index]), currentTime())) {
            if (currentTime() >= state.progress->expiresAt()) {
                self->finish(job, index, {.item = job->items[index].id, .succeeded = false, .output = state.progress->output()});
                co_return;
            }
            co_await self->sleep(stoppedPartDelay);
            continue;
        }
        if (state.wait && currentTime() >= state.progress->waitEndsAt(state.wait->since)) {
            logItemWait("item_given_up", *job, index, currentTime());
            self->finish(job, index, {.item = job->items[index].id, .succeeded = false, .output = state.progress->output()});
            co_return;
        }
        const item_step step = co_await self->runOnce(job, index, *jobRoute, table->configuration().version, *state.progress);
        if (step != item_step::RunAgain) {
            const bool succeeded = step == item_step::Succeeded;
            self->finish(job, index, {.item = job->items[index].id, .succeeded = succeeded, .output = state.progress->output()});
            co_return;
        }
        if (!state.wait && state.progress->retryDelay() > duration(0)) {
            co_await self->sleep(state.progress->retryDelay());
        }
    }
}

/// One run of an item, from the claim of a slot to the end of the attempt. Each run has its own slot id, since the release of
/// one run may arrive after the claim of the next.
task<item_step> listed_job_service::implementation::runOnce(job_pointer job,
                                                            std::size_t index,
                                                            const route &jobRoute,
                                                            std::uint64_t configurationVersion,
                                                            item_progress &progress)
{
    item_state &state = job->states[index];
    ++state.runs;
    const request_id id = slotId(*job, index);
    std::erase_if(state.unusableUpstreams, [this](const upstream_id &upstream) {
        return isUsable(m_ports.slots.scheduler().find(upstream));
    });
    const claim_terms terms = termsOf(*job, index, jobRoute);
    if (progress.hasOutput() && terms.version.empty()) {
        logEvent(log_level::Info,
                 "item_restarted",
                 {{"job", job->entry.id.text()},
                  {"item", job->items[index].id},
                  {"service", progress.origin().service.text()},
                  {"version", progress.origin().version}});
        m_ports.metrics.count("item_restarted");
        progress.restart();
        state.earlierRunTime = duration(0);
        state.checkpointedEvent = 0;
    }
    slot_request request{.id = id,
                         .service = terms.service,
                         .workClass = work_class::Batch,
                         .priority = terms.priority,
                         .arrivedAt = currentTime(),
                         .target = terms.target,
                         .deadline = terms.deadline,
                         .repeatable = true,
                         .continues = progress.hasOutput(),
                         .version = terms.version,
                         .excluded = state.unusableUpstreams,
                         .earlierRunTime = state.earlierRunTime,
                         .origin = originOf(job->entry.id),
                         .earlierFailures = progress.failures(),
                         .caller = callerKeyOf(job->entry.organisation),
                         .size = sizeOf(job->items[index])};
    // Each run has its own stop signal, since an item whose slot was reclaimed runs again later.
    state.stopSignal = stop_signal();
    auto onReclaim = [job, index] {
        job->states[index].stopSignal.stop();
    };
    const time_point since = state.wait ? state.wait->since : currentTime();
    state.wait = {.terms = terms, .since = since, .configurationVersion = configurationVersion};
    state.isClaiming = true;
    const slot_broker::slot_outcome outcome = co_await m_ports.slots.acquire(std::move(request), state.stopSignal, std::move(onReclaim));
    state.isClaiming = false;
    const auto *const granted = std::get_if<slot_granted>(&outcome);
    if (granted == nullptr) {
        if (std::holds_alternative<slot_rejected>(outcome)) {
            co_await sleep(storeRetryDelay); // The scheduling node knows less of the upstreams than this one, or more.
        }
        co_return item_step::RunAgain;
    }
    state.wait.reset();
    const upstream_id upstream = granted->upstream;
    const replica *const registered = m_ports.slots.scheduler().find(upstream);
    attempt_report report{.result = {.outcome = attempt_outcome::Cancelled}};
    const bool usable = isUsable(registered) && registered->service == terms.service && registered->hasVersion(terms.version);
    if (!usable) {
        state.unusableUpstreams.push_back(upstream);
        report.error = "granted, but not known here or draining";
    }
    const bool isPartStopped = m_ports.parts.stoppedUntil(promptRunOf(job->items[index]), currentTime()).has_value();
    if (usable && isPartStopped) {
        report.error = "a part of its prompt was stopped while it waited";
    }
    if (usable && !isPartStopped && !job->stopped) {
        state.sentAt = currentTime();
        report = co_await sendItem(job, index, *registered, progress);
        state.earlierRunTime += currentTime() - *std::exchange(state.sentAt, std::nullopt);
    }
    m_ports.slots.released(id, resultForScheduler(report));
    if (report.head && report.head->kind == answer_kind::WrongUpstream) {
        m_ports.slots.scheduler().addressReused(upstream);
    }
    const item_step step = progress.finishRun(outcomeOf(report), currentTime());
    if (report.result.outcome != attempt_outcome::Succeeded) {
        logEvent(log_level::Info,
                 "item_run_ended",
                 {{"job", job->entry.id.text()},
                  {"item", job->items[index].id},
                  {"upstream", upstream.text()},
                  {"forwarder", report.forwarder.text()},
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
                     .startedAt = upstream.startedAt,
                     .address = upstream.address,
                     .method = "POST",
                     .target = item.path,
                     .host = job->entry.host,
                     .organisation = job->entry.organisation,
                     .fields = fieldsOf(item),
                     .body = item.body,
                     .resumeAfter = progress.resumeAfter(),
                     .timeLeft = std::nullopt,
                     .mayRepeat = true};
    const prompt_run prompt = promptRunOf(item);
    const upstream_key incarnation = keyOfStart(upstream);
    std::size_t eventCount = 0;
    const request_id slot = slotId(*job, index);
    event_splitter splitter;
    progress.beginRun({.service = upstream.service, .version = upstream.softwareVersion});
    attempt_observer observer;
    time_point lastEventAt = currentTime();
    observer.onBody = [&](std::string_view piece) -> task<> {
        m_ports.slots.firstByte(slot);
        const time_point now = currentTime();
        const std::vector<stream_event> events = splitter.add(piece);
        for (const stream_event &event : events) {
            if (!progress.addEvent(event)) {
                throw http_error(sent_state::MaybeSent, false, "events are missing before event " + std::to_string(*event.id));
            }
        }
        lastEventAt = events.empty() ? lastEventAt : now;
        if (eventCount < eventsOfBegunAnswer && eventCount + events.size() >= eventsOfBegunAnswer) {
            m_ports.parts.recordProof(prompt, now);
        }
        eventCount += events.size();
        if (now - lastEventAt > m_options.eventTimeout) {
            throw http_error(sent_state::MaybeSent, true, "bytes without an event for too long");
        }
        if (splitter.isTooLong() || progress.output().size() > maximumOutputBytes) {
            throw http_error(sent_state::MaybeSent, false, "an event or output is longer than any upstream makes");
        }
        co_return;
    };
    const http_client::stream_timeouts timeouts{.firstByte = firstByteTimeout, .silence = silenceTimeout};
    attempt_report report = co_await m_ports.sender.send(std::move(run), timeouts, std::move(observer), job->states[index].stopSignal);
    if (report.result.outcome == attempt_outcome::Succeeded) {
        report.error = doubtAboutEnd(splitter, *report.head);
        report.result.outcome = report.error.empty() ? attempt_outcome::Succeeded : attempt_outcome::Lost;
    }
    if (report.result.outcome == attempt_outcome::Succeeded) {
        m_ports.parts.recordProof(prompt, currentTime());
    } else if (report.result.outcome == attempt_outcome::Lost && eventCount < eventsOfBegunAnswer) {
        if (report.isOfPath) {
            m_ports.parts.recordUnanswered(prompt, incarnation, currentTime()); // Its upstream may have crashed as well.
        } else {
            m_ports.parts.recordLoss(prompt, incarnation, currentTime());
        }
    }
    co_return report;
}

} // namespace banyan
