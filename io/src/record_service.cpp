#include "banyan/io/record_service.h"

#include "banyan/core/lease_takeover.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/store_error.h"
#include "lease_recovery.h"
#include "node_store.h"
#include "record_codec.h"
#include "record_executor.h"
#include "record_store.h"
#include "record_sweeper.h"
#include "result_copies.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <exception>
#include <map>
#include <utility>

namespace banyan {

namespace {

constexpr duration pollInterval = std::chrono::milliseconds(500);
constexpr duration stopPollInterval = std::chrono::milliseconds(50);
constexpr duration busyRetryAfter = std::chrono::seconds(1);
constexpr double leastCommitsPerSecond = 0.2;

/// An accept() in progress, which may outlive its caller's wait.
struct pending_accept
{
    explicit pending_accept(asio::io_context &context)
        : changed(context)
    {
    }

    std::optional<accept_outcome> outcome;
    std::exception_ptr error;
    async_event changed;
};

/// The commit of a result in progress.
struct pending_result
{
    explicit pending_result(asio::io_context &context)
        : changed(context)
    {
    }

    bool over = false;
    async_event changed;
};

} // namespace

class record_service::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context, store_port port, const request_runner &runner, const record_service_options &options)
        : m_context(context)
        , m_options(options)
        , m_store(std::make_shared<node_store>(
              context,
              std::move(port),
              node_store_options{.node = options.node, .leaseDuration = options.leaseDuration, .commitsPerSecond = commitShare(1)}))
        , m_records(std::make_shared<record_store>(m_store, options.inlineBytes))
        , m_executor(std::make_shared<record_executor>(context, m_records, runner, options))
        , m_recovery(std::make_shared<lease_recovery>(context, m_records, m_executor, options))
        , m_sweeper(std::make_shared<record_sweeper>(context, m_records, options))
        , m_copies(std::make_shared<result_copies>(context, m_records, options.keptCopyBytes))
    {
    }

    void start()
    {
        m_recovery->start();
        m_sweeper->start();
    }

    /// Nothing new begins from now on.
    void stopBackground()
    {
        m_stopping = true;
        m_recovery->stop();
        m_sweeper->stop();
        m_executor->stop();
    }

    static task<> stop(std::shared_ptr<implementation> self, time_point until)
    {
        self->stopBackground();
        while (self->m_executor->size() > 0 && self->m_store->now() < until) {
            co_await sleepUntil(self->m_store->port(), self->m_store->now() + stopPollInterval);
        }
        logEvent(log_level::Info, "records_stopped", {{"left", std::to_string(self->m_executor->size())}});
        co_await self->m_store->release(until);
    }

    static task<accept_outcome> accept(std::shared_ptr<implementation> self, record_request request, time_point until)
    {
        const auto pending = std::make_shared<pending_accept>(self->m_context);
        asio::co_spawn(self->m_context, acceptInBackground(self, std::move(request), pending), asio::detached);
        self->m_store->port().callAt(until, [pending] {
            pending->changed.notify();
        });
        while (!pending->outcome && !pending->error && self->m_store->now() < until) {
            co_await pending->changed.wait();
        }
        if (pending->error) {
            std::rethrow_exception(pending->error);
        }
        if (!pending->outcome) {
            throw record_outcome_unknown("the store did not answer in time");
        }
        co_return *pending->outcome;
    }

    static task<stored_record> wait(std::shared_ptr<implementation> self, stored_record record, time_point until)
    {
        const std::shared_ptr<active_record> active = self->m_executor->find(record.key);
        if (active) {
            record = co_await waitForActive(self, active, std::move(record), until);
        }
        while (!isFinal(record.state) && self->m_store->now() < until) {
            const std::optional<stored_record> found = co_await self->tryFind(record.key);
            record = found ? *found : record;
            if (!isFinal(record.state)) {
                co_await sleepUntil(self->m_store->port(), std::min(until, self->m_store->now() + pollInterval));
            }
        }
        co_return record;
    }

    static task<bool>
    recordStart(std::shared_ptr<implementation> self, std::string recordKey, std::uint64_t fencingNumber, std::string attempt)
    {
        for (;;) {
            const std::optional<versioned_record> seen = co_await self->readOrRefuse(recordKey);
            const auto change = seen ? startRecord(*seen, fencingNumber, attempt, self->m_store->now()) : std::nullopt;
            if (!change) {
                co_return false;
            }
            const commit_outcome outcome = co_await self->m_store->commit(change->item);
            if (outcome.status == commit_status::Committed) {
                if (outcome.version == 0) {
                    co_return true;
                }
                self->rememberStart({.key = recordKey, .record = change->after, .version = outcome.version});
                co_return true;
            }
            if (outcome.status == commit_status::Unavailable || outcome.status == commit_status::Unknown) {
                throw store_unavailable("the start could not be recorded", self->m_store->retryAfter());
            }
        }
    }

    static task<> recordResult(std::shared_ptr<implementation> self,
                               std::string recordKey,
                               std::uint64_t fencingNumber,
                               run_answer answer,
                               time_point until)
    {
        const std::string text = encodeRunAnswer(answer);
        if (self->m_starterBytes + text.size() > self->m_options.keptCopyBytes) {
            logEvent(log_level::Warning, "result_left_to_owner", {{"record", recordKey}, {"bytes", std::to_string(text.size())}});
            co_return;
        }
        const auto done = std::make_shared<pending_result>(self->m_context);
        record_end end{.owner = self->m_options.node.text(), .fencingNumber = fencingNumber, .state = stateAfter(answer.result)};
        asio::co_spawn(self->m_context, commitStarted(self, recordKey, std::move(end), text, done), asio::detached);
        self->m_store->port().callAt(until, [done] {
            done->changed.notify();
        });
        while (!done->over && self->m_store->now() < until) {
            co_await done->changed.wait();
        }
    }

    static task<std::optional<stored_record>> find(std::shared_ptr<implementation> self, std::string recordKey)
    {
        std::optional<versioned_record> found = co_await self->m_records->read(std::move(recordKey));
        if (!found) {
            co_return std::nullopt;
        }
        stored_record record = co_await self->m_records->visible(std::move(*found));
        co_return record;
    }

    void setLiveNodes(const std::vector<node_id> &nodes)
    {
        m_store->setCommitsPerSecond(commitShare(nodes.size()));
        m_recovery->setLiveNodes(nodes);
        m_executor->setLiveNodes(nodes);
        m_sweeper->setLiveNodes(nodes);
    }

    [[nodiscard]] result_copies &copies()
    {
        return *m_copies;
    }

    [[nodiscard]] bool storeAvailable() const
    {
        return m_store->available();
    }

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_executor->size();
    }

private:
    [[nodiscard]] double commitShare(std::size_t nodes) const
    {
        const double share = m_options.fleetCommitsPerSecond / static_cast<double>(std::max<std::size_t>(nodes, 1));
        return std::max(share, leastCommitsPerSecond);
    }

    /// Commits the result of a start that this node recorded.
    static task<> commitStarted(std::shared_ptr<implementation> self,
                                std::string recordKey,
                                record_end end,
                                std::string text,
                                std::shared_ptr<pending_result> done)
    {
        self->m_starterBytes += text.size();
        end.answer = self->m_records->payloadFor(text, record_store::answerObjectOf(recordKey, end.owner, end.fencingNumber));
        if (!end.answer.objectName.empty()) {
            co_await self->m_store->putPatiently(end.answer.objectName, text);
        }
        std::optional<versioned_record> seen = self->takeStart(recordKey);
        while (!done->over) {
            if (!seen) {
                seen = co_await self->m_records->readPatiently(recordKey);
            }
            const auto change = seen ? finishStartedRecord(*seen, end, self->m_store->now()) : std::nullopt;
            done->over = !change;
            if (change) {
                const commit_outcome outcome = co_await self->m_store->commit(change->item);
                done->over = outcome.status == commit_status::Committed;
            }
            seen.reset();
        }
        self->m_starterBytes -= text.size();
        done->changed.notify();
    }

    /// Keeps a record as this node started it, which saves a reading when its result is committed.
    void rememberStart(versioned_record started)
    {
        if (m_starts.size() >= m_options.maximumInProgress) {
            m_starts.clear();
        }
        m_starts.insert_or_assign(started.key, std::move(started));
    }

    std::optional<versioned_record> takeStart(const std::string &recordKey)
    {
        const auto found = m_starts.find(recordKey);
        if (found == m_starts.end()) {
            return std::nullopt;
        }
        versioned_record started = std::move(found->second);
        m_starts.erase(found);
        return started;
    }

    static task<> acceptInBackground(std::shared_ptr<implementation> self, record_request request, std::shared_ptr<pending_accept> pending)
    {
        try {
            pending->outcome = co_await self->tryAccept(std::move(request));
        } catch (...) {
            pending->error = std::current_exception();
        }
        pending->changed.notify();
    }

    task<accept_outcome> tryAccept(record_request request)
    {
        const std::string key = recordKeyOf(request.caller, request.idempotencyKey);
        std::optional<versioned_record> seen;
        for (;;) {
            refuseIfUnable();
            const node_store::current_lease lease = m_store->lease();
            record_row fresh = freshRecord(request, key, lease.holder);
            co_await storeRequest(fresh.request, request.request);
            std::optional<record_change> change = seen ? acceptRecordAgain(*seen, fresh) : acceptRecord(key, fresh);
            const commit_outcome outcome = co_await lease.session->commit(change->item);
            if (outcome.status == commit_status::Committed) {
                m_executor->start(key, *change, outcome.version, request.request);
                co_return accept_outcome{.status = accept_status::New, .record = visibleRecord(key, change->after, std::nullopt)};
            }
            if (outcome.status == commit_status::Unavailable) {
                throw store_unavailable("the store is down", m_store->retryAfter());
            }
            if (outcome.status == commit_status::Unknown) {
                throw record_outcome_unknown("the lease was lost while the request was being recorded");
            }
            if (outcome.status == commit_status::Conflict) {
                seen = co_await readExisting(key);
            }
            if (seen && !acceptRecordAgain(*seen, fresh)) {
                accept_outcome existing = co_await existingOutcome(std::move(*seen), request.contentHash);
                co_return existing;
            }
        }
    }

    void refuseIfUnable()
    {
        if (m_stopping) {
            throw store_unavailable("this node is stopping", busyRetryAfter);
        }
        if (m_executor->size() >= m_options.maximumInProgress) {
            throw store_unavailable("too many recorded requests are in progress", busyRetryAfter);
        }
        if (!m_store->available()) {
            throw store_unavailable("the store is down", m_store->retryAfter());
        }
    }

    [[nodiscard]] record_row freshRecord(const record_request &request, const std::string &key, const std::string &holder) const
    {
        const std::string text = encodeRunRequest(request.request);
        return {.caller = request.caller,
                .idempotencyKey = request.idempotencyKey,
                .contentHash = request.contentHash,
                .repeatable = request.request.dispatch.repeatable,
                .owner = holder,
                .request = m_records->payloadFor(text, record_store::requestObjectOf(key, m_store->uniqueName())),
                .changedAt = m_store->now()};
    }

    task<> storeRequest(stored_payload payload, const run_request &request)
    {
        if (payload.objectName.empty()) {
            co_return;
        }
        std::string text = encodeRunRequest(request);
        try {
            co_await m_store->port().putObject(payload.objectName, std::move(text));
        } catch (const std::exception &error) {
            throw store_unavailable(error.what(), m_store->retryAfter());
        }
    }

    /// Reads the record that stood in the way. If that fails, the caller must not hear that its request was not run.
    task<std::optional<versioned_record>> readExisting(std::string key)
    {
        try {
            std::optional<versioned_record> found = co_await m_records->read(std::move(key));
            co_return found;
        } catch (const platform_unavailable &error) {
            throw record_outcome_unknown(std::string("the key was used before, and its record cannot be read: ") + error.what());
        }
    }

    task<accept_outcome> existingOutcome(versioned_record seen, std::string contentHash)
    {
        const bool same = seen.record.contentHash == contentHash;
        accept_outcome outcome{.status = same ? accept_status::Existing : accept_status::Conflict};
        try {
            outcome.record = co_await m_records->visible(std::move(seen));
        } catch (const platform_unavailable &error) {
            throw record_outcome_unknown(std::string("the record's answer cannot be read: ") + error.what());
        }
        co_return outcome;
    }

    static task<stored_record>
    waitForActive(std::shared_ptr<implementation> self, std::shared_ptr<active_record> active, stored_record record, time_point until)
    {
        self->m_store->port().callAt(until, [active] {
            active->changed.notify();
        });
        while (!active->end && self->m_executor->find(active->key) == active && self->m_store->now() < until) {
            co_await active->changed.wait();
        }
        co_return active->end.value_or(std::move(record));
    }

    task<std::optional<stored_record>> tryFind(std::string key)
    {
        try {
            std::optional<stored_record> found = co_await find(shared_from_this(), std::move(key));
            co_return found;
        } catch (const platform_unavailable &) {
            co_return std::nullopt;
        }
    }

    task<std::optional<versioned_record>> readOrRefuse(std::string key)
    {
        try {
            std::optional<versioned_record> found = co_await m_records->read(std::move(key));
            co_return found;
        } catch (const platform_unavailable &error) {
            throw store_unavailable(error.what(), m_store->retryAfter());
        }
    }

    asio::io_context &m_context;
    record_service_options m_options;
    std::shared_ptr<node_store> m_store;
    std::shared_ptr<record_store> m_records;
    std::shared_ptr<record_executor> m_executor;
    std::shared_ptr<lease_recovery> m_recovery;
    std::shared_ptr<record_sweeper> m_sweeper;
    std::shared_ptr<result_copies> m_copies;
    std::map<std::string, versioned_record> m_starts; ///< Recorded here, as committed.
    std::size_t m_starterBytes = 0; ///< Results of starts recorded here that are not committed yet.
    bool m_stopping = false;
};

record_service::record_service(asio::io_context &context,
                               platform_client &platform,
                               const request_runner &runner,
                               const record_service_options &options)
    : record_service(context, platformPort(context, platform), runner, options)
{
}

record_service::record_service(asio::io_context &context,
                               store_port port,
                               const request_runner &runner,
                               const record_service_options &options)
    : m_implementation(std::make_shared<implementation>(context, std::move(port), runner, options))
{
}

record_service::~record_service()
{
    m_implementation->stopBackground();
}

void record_service::start()
{
    m_implementation->start();
}

task<> record_service::stop(time_point until)
{
    return implementation::stop(m_implementation, until);
}

task<accept_outcome> record_service::accept(record_request request, time_point until)
{
    return implementation::accept(m_implementation, std::move(request), until);
}

task<stored_record> record_service::wait(stored_record record, time_point until)
{
    return implementation::wait(m_implementation, std::move(record), until);
}

task<bool> record_service::recordStart(std::string recordKey, std::uint64_t fencingNumber, std::string attempt)
{
    return implementation::recordStart(m_implementation, std::move(recordKey), fencingNumber, std::move(attempt));
}

task<> record_service::recordResult(std::string recordKey, std::uint64_t fencingNumber, run_answer answer, time_point until)
{
    return implementation::recordResult(m_implementation, std::move(recordKey), fencingNumber, std::move(answer), until);
}

task<std::optional<stored_record>> record_service::find(const caller_id &caller, const std::string &idempotencyKey)
{
    return implementation::find(m_implementation, recordKeyOf(caller, idempotencyKey));
}

void record_service::keepResultFor(const std::string &recordKey, const std::string &result)
{
    m_implementation->copies().keep(recordKey, result);
}

void record_service::forgetResultFor(const std::string &recordKey)
{
    m_implementation->copies().forget(recordKey);
}

void record_service::setLiveNodes(const std::vector<node_id> &nodes)
{
    m_implementation->setLiveNodes(nodes);
}

bool record_service::storeAvailable() const
{
    return m_implementation->storeAvailable();
}

std::size_t record_service::inProgress() const
{
    return m_implementation->inProgress();
}

} // namespace banyan
