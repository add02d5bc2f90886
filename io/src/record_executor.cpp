#include "record_executor.h"

#include "banyan/io/log.h"
#include "record_codec.h"
#include "result_copy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace banyan {

namespace {

constexpr duration firstRetryDelay = std::chrono::milliseconds(250);
constexpr duration maximumRetryDelay = std::chrono::seconds(10);
constexpr duration watchInterval = std::chrono::seconds(1);
constexpr duration leastTimeToRun = std::chrono::seconds(5);
constexpr unsigned maximumDoublings = 6;
constexpr unsigned maximumRunsWithoutAnswer = 3; ///< Of a repeatable request.

} // namespace

record_executor::record_executor(asio::io_context &context,
                                 std::shared_ptr<record_store> records,
                                 request_runner runner,
                                 record_service_options options)
    : m_context(context)
    , m_records(std::move(records))
    , m_runner(std::move(runner))
    , m_options(std::move(options))
{
}

std::shared_ptr<active_record>
record_executor::start(const std::string &key, const record_change &change, row_version version, run_request request)
{
    auto active = std::make_shared<active_record>(m_context);
    active->key = key;
    active->ownership = change.item.addedOwnership;
    active->record = change.after;
    active->version = version;
    active->request = std::move(request);
    active->mayHaveRun = active->record.mayHaveRun;
    active->timeToRun = std::max(active->request.dispatch.deadline - active->record.changedAt, leastTimeToRun);
    active->giveUpAt = active->record.changedAt + m_options.giveUpAfter;
    m_active[key] = active;
    asio::co_spawn(m_context, runToEnd(shared_from_this(), active), asio::detached);
    logEvent(log_level::Debug, "record_run", {{"record", key}, {"fencing_number", std::to_string(active->record.fencingNumber)}});
    return active;
}

std::shared_ptr<active_record> record_executor::find(const std::string &key) const
{
    const auto found = m_active.find(key);
    return found == m_active.end() ? nullptr : found->second;
}

void record_executor::setLiveNodes(const std::vector<node_id> &nodes)
{
    m_liveNodes.clear();
    for (const node_id &node : nodes) {
        m_liveNodes.insert(node.text());
    }
}

void record_executor::stop()
{
    m_stopped = true;
}

run_request record_executor::requestFor(const active_record &active) const
{
    run_request request = active.request;
    request.recordKey = active.key;
    request.fencingNumber = active.record.fencingNumber;
    request.dispatch.deadline = std::max(request.dispatch.deadline, m_records->store().now() + active.timeToRun);
    // The service may have moved since the request was accepted.
    const std::optional<pool_name> pool = m_options.poolOf ? m_options.poolOf(request.dispatch.service) : std::nullopt;
    request.pool = pool.value_or(request.pool);
    return request;
}

task<> record_executor::runToEnd(std::shared_ptr<record_executor> self, active_pointer active)
{
    next_step step = next_step::RunAgain;
    if (active->record.state == record_state::Started) {
        step = co_await self->watchStarted(active);
        if (step == next_step::Finish) {
            run_answer unknown{.result = {.what = disposition::OutcomeUnknown, .reason = end_reason::AnswerLost}};
            step = co_await self->finish(active, std::move(unknown));
        }
    }
    while (step == next_step::RunAgain) {
        ++active->runs;
        run_request request = self->requestFor(*active);
        run_answer answer = co_await self->m_runner(std::move(request), std::make_shared<run_cancellation>());
        active->mayHaveRun = active->mayHaveRun || (active->record.repeatable && answer.result.what == disposition::OutcomeUnknown);
        step = co_await self->afterRun(active, answer.result);
        if (step == next_step::Finish) {
            step = co_await self->finish(active, std::move(answer));
        }
    }
    if (step == next_step::Superseded) {
        self->m_records->store().disown(active->ownership);
    }
    const auto found = self->m_active.find(active->key);
    if (found != self->m_active.end() && found->second == active) {
        self->m_active.erase(found);
    }
    active->changed.notify();
}

bool record_executor::mayRunAgain(const active_record &active, const final_result &result) const
{
    if (m_records->store().now() >= active.giveUpAt) {
        return false;
    }
    if (result.what == disposition::NotRun) {
        return true;
    }
    if (result.what != disposition::OutcomeUnknown) {
        return false;
    }
    return !active.record.repeatable || active.runs < maximumRunsWithoutAnswer;
}

task<record_executor::next_step> record_executor::afterRun(active_pointer active, final_result result)
{
    if (!mayRunAgain(*active, result)) {
        co_return next_step::Finish;
    }
    if (m_stopped) {
        co_return next_step::Left; // Another node takes it over when this one has released its lease.
    }
    const bool notRun = result.what == disposition::NotRun;
    if (notRun) {
        co_await pauseBeforeRetry(active, result.retryAfter);
    }
    if (active->record.repeatable) {
        co_return next_step::RunAgain;
    }
    next_step step = co_await prepareAnotherRun(active, notRun);
    co_return step;
}

task<> record_executor::pauseBeforeRetry(active_pointer active, std::optional<duration> wish)
{
    const duration delay = std::min(firstRetryDelay * (1U << std::min(active->runs - 1, maximumDoublings)), maximumRetryDelay);
    const duration pause = std::min(std::max(delay, wish.value_or(duration::zero())), maximumRetryDelay);
    co_await sleepUntil(m_records->store().port(), m_records->store().now() + pause);
}

task<record_executor::next_step> record_executor::prepareAnotherRun(active_pointer active, bool startedWithoutEffect)
{
    node_store &store = m_records->store();
    for (;;) {
        const std::optional<versioned_record> seen = co_await m_records->readPatiently(active->key);
        if (!seen || isFinal(seen->record.state) || seen->record.owner != active->record.owner) {
            next_step step = co_await superseded(active, seen);
            co_return step;
        }
        const auto change = runRecordAgain(*seen, active->record.owner, active->record.fencingNumber, startedWithoutEffect, store.now());
        if (!change) {
            active->record = seen->record;
            next_step step = co_await watchStarted(active);
            co_return step;
        }
        const commit_outcome outcome = co_await store.commit(change->item);
        if (outcome.status == commit_status::Committed) {
            active->record = change->after;
            active->version = 0;
            co_return next_step::RunAgain;
        }
    }
}

bool record_executor::starterMayFinish(const record_row &record) const
{
    const std::string starter = record.attempt.substr(0, record.attempt.find('/'));
    return starter != m_options.node.text() && m_liveNodes.contains(starter);
}

task<record_executor::next_step> record_executor::watchStarted(active_pointer active)
{
    node_store &store = m_records->store();
    const time_point until = std::max(active->request.dispatch.deadline, store.now() + leastTimeToRun);
    while (starterMayFinish(active->record) && store.now() < until) {
        if (m_stopped) {
            co_return next_step::Left;
        }
        co_await sleepUntil(store.port(), store.now() + watchInterval);
        const std::optional<versioned_record> seen = co_await m_records->readPatiently(active->key);
        if (!seen || isFinal(seen->record.state) || seen->record.owner != active->record.owner) {
            next_step step = co_await superseded(active, seen);
            co_return step;
        }
    }
    co_return next_step::Finish;
}

task<record_executor::next_step> record_executor::superseded(active_pointer active, std::optional<versioned_record> seen)
{
    if (!seen || !isFinal(seen->record.state)) {
        logEvent(log_level::Warning, "record_moved", {{"record", active->key}});
        co_return next_step::Superseded;
    }
    try {
        active->end = co_await m_records->visible(std::move(*seen));
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "result_not_read", {{"record", active->key}, {"error", error.what()}});
    }
    co_return next_step::Superseded;
}

task<record_executor::next_step> record_executor::finish(active_pointer active, run_answer answer)
{
    if (active->mayHaveRun && answer.result.what == disposition::NotRun) {
        answer.result = {.what = disposition::OutcomeUnknown, .reason = answer.result.reason};
    }
    const std::string text = encodeRunAnswer(answer);
    const bool room = co_await hasRoomFor(active, text.size());
    if (!room) {
        co_return next_step::RunAgain;
    }
    m_keptBytes += text.size();
    record_end end{.owner = active->record.owner, .fencingNumber = active->record.fencingNumber, .state = stateAfter(answer.result)};
    copyIfLate(active, end, text);
    end.answer = m_records->payloadFor(text, record_store::answerObjectOf(active->key, end.owner, end.fencingNumber));
    if (!end.answer.objectName.empty()) {
        co_await m_records->store().putPatiently(end.answer.objectName, text);
    }
    const next_step step = co_await commitEnd(active, std::move(end), std::move(answer));
    m_keptBytes -= text.size();
    forgetCopies(active);
    co_return step;
}

task<bool> record_executor::hasRoomFor(active_pointer active, std::size_t bytes)
{
    node_store &store = m_records->store();
    if (!active->record.repeatable || store.available() || m_keptBytes + bytes <= m_options.keptResultBytes) {
        co_return true;
    }
    logEvent(log_level::Warning, "result_dropped", {{"record", active->key}, {"bytes", std::to_string(bytes)}});
    co_await store.waitUntilAvailable();
    co_await pauseBeforeRetry(active, std::nullopt);
    co_return false;
}

task<record_executor::next_step> record_executor::commitEnd(active_pointer active, record_end end, run_answer answer)
{
    node_store &store = m_records->store();
    std::optional<versioned_record> seen;
    if (active->record.repeatable && active->version != 0) {
        seen = versioned_record{.key = active->key, .record = active->record, .version = active->version};
    }
    for (;;) {
        if (!seen) {
            seen = co_await m_records->readPatiently(active->key);
        }
        auto change = seen ? finishRecord(*seen, end, store.now()) : std::nullopt;
        if (!change) {
            next_step step = co_await superseded(active, seen);
            co_return step;
        }
        change->item.removedOwnership = active->ownership;
        const commit_outcome outcome = co_await store.commit(change->item);
        if (outcome.status == commit_status::Committed) {
            active->end = visibleRecord(active->key, change->after, std::move(answer));
            co_return next_step::Ended;
        }
        seen.reset();
    }
}

void record_executor::copyIfLate(const active_pointer &active, const record_end &end, const std::string &text)
{
    if (active->record.repeatable || !m_options.keepCopy) {
        return;
    }
    result_copy copy{.end = end};
    copy.end.answer = {.text = text};
    const time_point when = m_records->store().now() + m_options.copyDelay;
    m_records->store().port().callAt(when, [self = weak_from_this(), active, encoded = encodeResultCopy(copy)] {
        const auto executor = self.lock();
        if (!executor || active->end || executor->find(active->key) != active) {
            return;
        }
        active->copied = true;
        logEvent(log_level::Info, "result_copied", {{"record", active->key}});
        asio::co_spawn(executor->m_context, executor->m_options.keepCopy(active->key, encoded), asio::detached);
    });
}

void record_executor::forgetCopies(const active_pointer &active)
{
    if (active->copied && m_options.forgetCopy) {
        asio::co_spawn(m_context, m_options.forgetCopy(active->key), asio::detached);
    }
}

} // namespace banyan
