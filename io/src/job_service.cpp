#include "banyan/io/job_service.h"

#include "banyan/core/placement.h"
#include "banyan/core/record_error.h"
#include "banyan/core/row_key.h"
#include "banyan/core/sha256.h"
#include "banyan/io/job_leases.h"
#include "banyan/io/log.h"
#include "banyan/io/openai_error.h"
#include "banyan/io/platform_error.h"
#include "job_execution.h"
#include "job_rows.h"
#include "seed.h"
#include "store_calls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::size_t rowsPerPage = 100;
constexpr std::size_t activeRowsPerScan = 1000;
constexpr duration settleLimit = std::chrono::seconds(8); ///< For finding out whether a change took effect.
constexpr duration settleDelay = std::chrono::milliseconds(200);
constexpr duration leaseCheckInterval = std::chrono::seconds(1);
constexpr duration sweepInterval = std::chrono::seconds(60);
constexpr duration drainPollInterval = std::chrono::milliseconds(20);
constexpr duration shortestCancelPoll = std::chrono::seconds(1);
constexpr duration longestCancelPoll = std::chrono::seconds(10);
constexpr duration longestWindow = std::chrono::hours(24 * 14);
constexpr std::size_t maximumKeyBytes = 256;
constexpr std::size_t maximumMetadataBytes = 16384;
constexpr std::string_view chatEndpoint = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/v1/services/";

/// A change whose effect could not be found out in time.
openai_error outcomeUnknown(const std::string &what)
{
    return openai_error("Whether " + what + " is not known: the platform's store does not answer. Sending the request again finds out.",
                        {.status = 504, .type = "server_error", .code = "outcome_unknown"});
}

duration parseWindow(const std::string &text)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string unit(end, text.data() + text.size());
    duration window{};
    if (unit == "s") {
        window = std::chrono::seconds(count);
    } else if (unit == "m") {
        window = std::chrono::minutes(count);
    } else if (unit == "h") {
        window = std::chrono::hours(count);
    } else if (unit == "d") {
        window = std::chrono::hours(24 * count);
    }
    if (error != std::errc() || window <= duration{} || window > longestWindow) {
        throw openai_error("Expected a completion window such as \"24h\" of at most 14 days, found \"" + text + "\".",
                           {.code = "invalid_completion_window", .param = "completion_window"});
    }
    return window;
}

void checkRequest(const job_request &request)
{
    const bool known =
        request.endpoint == chatEndpoint || (request.endpoint.starts_with(servicePrefix) && request.endpoint.size() > servicePrefix.size());
    if (!known) {
        throw openai_error("Expected the endpoint /v1/chat/completions or /v1/services/NAME, found \"" + request.endpoint + "\".",
                           {.code = "invalid_endpoint", .param = "endpoint"});
    }
    if (request.idempotencyKey.size() > maximumKeyBytes) {
        throw openai_error("Expected an Idempotency-Key of at most 256 bytes.", {.code = "invalid_idempotency_key"});
    }
    if (request.metadata.size() > maximumMetadataBytes) {
        throw openai_error("Expected metadata of at most 16384 bytes.", {.code = "invalid_metadata", .param = "metadata"});
    }
}

/// What a job consists of; equal for a job that is sent again.
std::string fingerprintOf(const file_record &input, const job_request &request)
{
    const json::array parts{input.contentHash, request.endpoint, request.completionWindow, request.metadata};
    return sha256Hex(json::serialize(parts));
}

/// The row that makes a resent job the same job.
struct create_key
{
    std::string key;
    std::string fingerprint;
};

create_key createKeyOf(const caller_id &caller, const file_record &input, const job_request &request)
{
    const std::string fingerprint = fingerprintOf(input, request);
    const std::string name = request.idempotencyKey.empty() ? "c-" + fingerprint : "k-" + sha256Hex(request.idempotencyKey);
    return {.key = "job-key/" + keyPart(caller.text()) + "/" + name, .fingerprint = fingerprint};
}

job_summary summaryOf(const job_record &job)
{
    return {.id = job.id,
            .caller = job.caller,
            .endpoint = job.endpoint,
            .status = job.status,
            .owner = job.owner,
            .fencingNumber = job.fencingNumber,
            .total = job.total(),
            .completed = job.completed,
            .failed = job.failed,
            .createdAt = job.createdAt,
            .deadline = job.deadline};
}

/// A job's row as it was read.
struct read_job_row
{
    job_record record;
    row_version version = 0;
};

} // namespace

struct job_service::implementation : std::enable_shared_from_this<job_service::implementation>
{
    implementation(asio::io_context &ioContext,
                   const store_port &port,
                   file_service &fileService,
                   job_service_hooks what,
                   job_service_options settings)
        : context(ioContext)
        , store(port)
        , files(fileService)
        , hooks(std::move(what))
        , options(settings)
        , leases(ioContext, port, {.node = hooks.self.id.text(), .leaseDuration = settings.leaseDuration})
        , random(seedOr(settings.seed))
        , counters(std::make_shared<job_execution_counters>())
    {
    }

    using self_pointer = std::shared_ptr<implementation>;

    // Accepting.
    task<job_record> create(caller_id caller, job_request request);
    task<std::optional<job_record>> existing(create_key key, caller_id caller);
    task<bool> commitNew(transaction change, create_key key, job_id job);
    job_record newJob(const caller_id &caller, const file_record &input, const job_request &request, const create_key &key);
    transaction creation(const job_record &job, const file_service::stored_file &input, const create_key &key) const;

    // Reading and cancelling.
    task<std::optional<read_job_row>> readRow(job_id job);
    task<read_job_row> rowOf(std::optional<caller_id> caller, job_id job);
    task<job_record> cancel(std::optional<caller_id> caller, job_id job);
    transaction cancellation(const job_record &before, row_version version, job_record &next) const;
    void tellOwner(const job_record &job);

    // Coordinating.
    task<> scanShard(std::uint32_t shard);
    task<> considerJob(active_job entry);
    task<> claim(read_job_row found, lapsed_lease lease);
    task<> executeIfOwned(job_record expected);
    void execute(job_record record, row_version version);
    void executionEnded(const job_id &job, coordination_outcome how);
    void leaseLost();
    [[nodiscard]] bool mayClaim() const;
    [[nodiscard]] bool scans(std::uint32_t shard) const;
    [[nodiscard]] duration cancelPollInterval() const;
    [[nodiscard]] duration jittered(duration interval);

    static task<> scanLoop(self_pointer self);
    static task<> cancelLoop(self_pointer self);
    static task<> leaseLoop(self_pointer self);
    static task<> sweepLoop(self_pointer self);
    task<> sweepPage(std::string &fileCursor, std::string &jobCursor);
    task<> removeJob(read_job_row found);
    task<> scanAll();
    task<> pollCancels();

    asio::io_context &context;
    store_port store;
    file_service &files;
    job_service_hooks hooks;
    job_service_options options;
    job_leases leases;
    std::mt19937_64 random;
    std::shared_ptr<job_execution_counters> counters;
    std::uint64_t takeovers = 0;
    std::uint64_t leasesLost = 0;
    std::map<job_id, std::shared_ptr<job_execution>> executions;
    std::set<job_id> claiming;
    time_point nextStraySearch;
    bool draining = false;
    bool stopped = false;
};

// Accepting

job_record
job_service::implementation::newJob(const caller_id &caller, const file_record &input, const job_request &request, const create_key &key)
{
    const time_point now = store.now();
    job_record job{.id = job_id(newestFirstId("batch_", now, random())), .caller = caller, .inputFile = input.id};
    for (const file_part &part : input.parts) {
        job.itemsPerPart.push_back(part.items);
    }
    job.endpoint = request.endpoint;
    job.completionWindow = request.completionWindow;
    job.metadata = request.metadata;
    job.createKey = key.key;
    job.createdAt = now;
    job.deadline = now + parseWindow(request.completionWindow);
    job.expiresAt = now + options.retention;
    if (scans(shardOf(job.id)) && mayClaim()) {
        job.owner = leases.own();
        job.fencingNumber = 1;
        job.status = job_state::InProgress;
        job.startedAt = now;
    }
    return job;
}

transaction
job_service::implementation::creation(const job_record &job, const file_service::stored_file &input, const create_key &key) const
{
    transaction change = changeJob(job, 0, {});
    const std::string inputKey = fileKey(job.caller, job.inputFile);
    change.conditions.push_back({.key = key.key, .version = 0});
    change.conditions.push_back({.key = inputKey, .version = input.version});
    change.writes.push_back({.key = key.key, .value = json::serialize(json::object{{"job", job.id.text()}, {"content", key.fingerprint}})});
    change.writes.push_back({.key = callerJobKey(job.caller, job.id), .value = job.id.text()});
    // A file that is removed meanwhile makes this fail, and the other way round.
    change.writes.push_back({.key = inputKey, .value = input.record.toJson()});
    return change;
}

/// The job that was created under this key, if there is one. @throws openai_error for other content under the same key
task<std::optional<job_record>> job_service::implementation::existing(create_key key, caller_id caller)
{
    const std::optional<row> found = co_await store.read(key.key);
    if (!found) {
        co_return std::nullopt;
    }
    const json::value parsed = json::parse(found->value);
    if (json::value_to<std::string>(parsed.at("content")) != key.fingerprint) {
        throw openai_error("This Idempotency-Key has been used for another batch.", {.status = 422, .code = "idempotency_key_reused"});
    }
    const auto stored = co_await readRow(job_id(json::value_to<std::string>(parsed.at("job"))));
    if (!stored || stored->record.caller != caller) {
        co_return std::nullopt;
    }
    co_return stored->record;
}

/// Commits a new job. Returns false if a condition does not hold. A lost answer is settled by reading the key's row
/// back and, as long as it is absent, sending the same change again, of which one takes effect.
/// @throws openai_error 503 if nothing took effect, 504 if that is not known
task<bool> job_service::implementation::commitNew(transaction change, create_key key, job_id job)
{
    const time_point limit = store.now() + settleLimit;
    bool maybeCommitted = false;
    while (!maybeCommitted || store.now() < limit) {
        try {
            if (maybeCommitted) {
                const std::optional<row> found = co_await store.read(key.key);
                if (found) {
                    co_return json::value_to<std::string>(json::parse(found->value).at("job")) == job.text();
                }
            }
            const commit_result result = co_await store.commit(change);
            if (result.committed || !maybeCommitted) {
                co_return result.committed;
            }
        } catch (const platform_unavailable &) {
            if (!maybeCommitted) {
                throw storeUnavailable(options.retryAfter);
            }
        } catch (const platform_outcome_unknown &) {
            maybeCommitted = true;
        }
        co_await sleepUntil(store, store.now() + settleDelay);
    }
    throw outcomeUnknown("the batch was accepted");
}

task<job_record> job_service::implementation::create(caller_id caller, job_request request)
{
    constexpr int attempts = 4;
    checkRequest(request);
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const file_service::stored_file input = co_await files.uploaded(caller, request.inputFile);
        const std::uint64_t items = input.record.items();
        if (items == 0 || items > options.maximumItems) {
            throw openai_error("Expected a file of 1 to " + std::to_string(options.maximumItems) + " items, found " + std::to_string(items)
                                   + ".",
                               {.code = "invalid_input_file", .param = "input_file_id"});
        }
        const create_key key = createKeyOf(caller, input.record, request);
        const job_record job = newJob(caller, input.record, request, key);
        const bool committed = co_await commitNew(creation(job, input, key), key, job.id);
        if (committed) {
            logEvent(
                log_level::Info, "job_accepted", {{"job", job.id.text()}, {"caller", caller.text()}, {"items", std::to_string(items)}});
            if (!job.owner.empty()) {
                co_await executeIfOwned(job);
            }
            co_return job;
        }
        const std::optional<job_record> before = co_await orRefuse(existing(key, caller), options.retryAfter);
        if (before) {
            co_return *before;
        }
    }
    throw openai_error("The input file is being changed.", {.status = 409, .code = "conflict"});
}

// Reading and cancelling

task<std::optional<read_job_row>> job_service::implementation::readRow(job_id job)
{
    const std::optional<row> found = co_await store.read(jobKey(job));
    if (!found) {
        co_return std::nullopt;
    }
    co_return read_job_row{.record = job_record::fromJson(found->value), .version = found->version};
}

/// A job's row; 404 if it is another caller's.
task<read_job_row> job_service::implementation::rowOf(std::optional<caller_id> caller, job_id job)
{
    std::optional<read_job_row> found = co_await orRefuse(readRow(job), options.retryAfter);
    if (!found || (caller && found->record.caller != *caller)) {
        throw notFound("batch", job.text());
    }
    co_return *std::move(found);
}

transaction job_service::implementation::cancellation(const job_record &before, row_version version, job_record &next) const
{
    next = before;
    next.cancellingAt = store.now();
    if (before.owner.empty()) {
        next.status = job_state::Cancelled;
        next.endedAt = next.cancellingAt;
        return changeJob(next, version, {});
    }
    next.status = job_state::Cancelling;
    transaction change = changeJob(next, version, before.owner);
    change.writes.push_back({.key = cancelKey(before.owner, before.id), .value = "1"});
    return change;
}

task<job_record> job_service::implementation::cancel(std::optional<caller_id> caller, job_id job)
{
    const time_point limit = store.now() + settleLimit;
    bool maybeCommitted = false;
    for (;;) {
        std::optional<read_job_row> found;
        try {
            found = co_await rowOf(caller, job);
        } catch (const openai_error &) {
            if (!maybeCommitted) {
                throw;
            }
        }
        if (found && found->record.cancellingAt) {
            tellOwner(found->record);
            co_return found->record;
        }
        if (found && isFinal(found->record.status)) {
            throw openai_error("The batch has ended already: " + std::string(toString(found->record.status)) + ".",
                               {.status = 409, .code = "batch_ended"});
        }
        if (found) {
            job_record next;
            try {
                const commit_result result = co_await store.commit(cancellation(found->record, found->version, next));
                if (result.committed) {
                    logEvent(log_level::Info, "job_cancel_accepted", {{"job", job.text()}});
                    tellOwner(next);
                    co_return next;
                }
            } catch (const platform_unavailable &) {
                if (!maybeCommitted) {
                    throw storeUnavailable(options.retryAfter);
                }
            } catch (const platform_outcome_unknown &) {
                maybeCommitted = true;
            }
        }
        if (store.now() >= limit) {
            throw outcomeUnknown("the cancel was recorded");
        }
        co_await sleepUntil(store, store.now() + jittered(settleDelay));
    }
}

void job_service::implementation::tellOwner(const job_record &job)
{
    const auto here = executions.find(job.id);
    if (here != executions.end()) {
        here->second->cancelSeen();
    } else if (hooks.pushCancel && !job.owner.empty()) {
        hooks.pushCancel(job.owner, job.id);
    }
}

// Coordinating

duration job_service::implementation::jittered(duration interval)
{
    std::uniform_int_distribution<std::int64_t> jitter(interval.count() / 2, interval.count());
    return duration(jitter(random));
}

bool job_service::implementation::mayClaim() const
{
    return !draining && !stopped && leases.held() && executions.size() < options.maximumJobs;
}

/// Whether this node is the one that looks through a shard of the index, as far as its view goes.
bool job_service::implementation::scans(std::uint32_t shard) const
{
    const std::vector<node_info> nodes = hooks.nodes();
    const auto owner = ownerOf(activePrefix(shard), nodes);
    return owner && owner->id == hooks.self.id;
}

duration job_service::implementation::cancelPollInterval() const
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, hooks.nodes().size()));
    const auto interval = std::chrono::duration_cast<duration>(std::chrono::duration<double>(nodes / options.cancelReadsPerSecond));
    return std::clamp(interval, shortestCancelPoll, longestCancelPoll);
}

void job_service::implementation::execute(job_record record, row_version version)
{
    const job_id job = record.id;
    job_execution_parts parts{.store = store, .run = hooks.run, .buildRequest = hooks.buildRequest, .counters = counters};
    parts.ended = [weak = weak_from_this()](const job_id &ended, coordination_outcome how) {
        if (const auto self = weak.lock()) {
            self->executionEnded(ended, how);
        }
    };
    job_coordinator_options coordinator = options.coordinator;
    coordinator.seed = random();
    const auto execution = std::make_shared<job_execution>(context, std::move(parts), std::move(record), version, coordinator);
    executions[job] = execution;
    logEvent(log_level::Info,
             "job_coordination_started",
             {{"job", job.text()}, {"fencing_number", std::to_string(execution->record().fencingNumber)}});
    execution->start();
}

void job_service::implementation::executionEnded(const job_id &job, coordination_outcome how)
{
    const bool lost = how == coordination_outcome::LeaseLost;
    leasesLost += lost ? 1 : 0;
    const std::string_view text = lost ? "lease_lost" : how == coordination_outcome::Released ? "released" : "finished";
    logEvent(log_level::Info, "job_coordination_ended", {{"job", job.text()}, {"how", std::string(text)}});
    executions.erase(job);
}

/// The lease's row is gone: everything it owned may be taken over now, so nothing here goes on.
void job_service::implementation::leaseLost()
{
    for (const auto &[job, execution] : std::exchange(executions, {})) {
        ++leasesLost;
        logEvent(log_level::Warning, "job_coordination_ended", {{"job", job.text()}, {"how", "lease_lost"}});
        execution->abandon();
    }
}

/// Begins to coordinate a job if its row says so: if this node's lease owns it under the fencing number expected.
/// What fails here is found at the next look for jobs.
task<> job_service::implementation::executeIfOwned(job_record expected)
{
    try {
        std::optional<read_job_row> found = co_await readRow(expected.id);
        const bool owned = found && found->record.owner == leases.own() && found->record.owner == expected.owner
                           && found->record.fencingNumber == expected.fencingNumber;
        if (owned && !isFinal(found->record.status) && !executions.contains(expected.id) && !stopped) {
            execute(std::move(found->record), found->version);
        }
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "job_read_failed", {{"job", expected.id.text()}, {"error", error.what()}});
    }
}

task<> job_service::implementation::claim(read_job_row found, lapsed_lease lease)
{
    const job_record &before = found.record;
    job_record next = before;
    const bool takeover = !before.owner.empty();
    next.owner = leases.own();
    ++next.fencingNumber;
    if (before.status == job_state::Validating) {
        next.status = job_state::InProgress;
        next.startedAt = store.now();
    }
    transaction change = changeJob(next, found.version, before.owner);
    change.conditions.insert(change.conditions.end(), lease.conditions.begin(), lease.conditions.end());
    change.writes.insert(change.writes.end(), lease.writes.begin(), lease.writes.end());
    try {
        const commit_result result = co_await store.commit(std::move(change));
        if (!result.committed) {
            co_return;
        }
    } catch (const platform_outcome_unknown &error) {
        logEvent(log_level::Warning, "job_claim_unknown", {{"job", next.id.text()}, {"error", error.what()}});
    }
    co_await executeIfOwned(next);
    takeovers += takeover && executions.contains(next.id) ? 1 : 0;
}

/// Decides about one active job. What fails here is tried again at the next look.
task<> job_service::implementation::considerJob(active_job entry)
{
    if (!mayClaim() || executions.contains(entry.job) || claiming.contains(entry.job)) {
        co_return;
    }
    const bool mine = entry.owner == leases.own();
    std::optional<lapsed_lease> lease = lapsed_lease{};
    if (!mine && !entry.owner.empty()) {
        lease = co_await leases.lookAt(entry.owner);
    }
    if (!lease || !mayClaim()) {
        co_return;
    }
    claiming.insert(entry.job);
    try {
        std::optional<read_job_row> found = co_await readRow(entry.job);
        if (found && found->record.owner == entry.owner && !isFinal(found->record.status) && !executions.contains(entry.job)) {
            co_await claim(*std::move(found), *std::move(lease));
        }
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "job_claim_failed", {{"job", entry.job.text()}, {"error", error.what()}});
    }
    claiming.erase(entry.job);
}

task<> job_service::implementation::scanShard(std::uint32_t shard)
{
    const std::string fromStart;
    const row_page page = co_await store.scan(activePrefix(shard), fromStart, activeRowsPerScan);
    std::vector<active_job> entries;
    for (const row &found : page.rows) {
        active_job entry = active_job::fromJson(found.value);
        if (!executions.contains(entry.job)) {
            entries.push_back(std::move(entry));
        }
    }
    std::sort(entries.begin(), entries.end(), [](const active_job &left, const active_job &right) {
        return left.deadline < right.deadline;
    });
    if (!entries.empty() && !draining) {
        co_await leases.acquire();
    }
    for (const active_job &entry : entries) {
        co_await considerJob(entry);
    }
}

task<> job_service::implementation::scanAll()
{
    for (std::uint32_t shard = 0; shard < activeShards && !stopped && !draining; ++shard) {
        if (scans(shard)) {
            co_await scanShard(shard);
        }
    }
    if (store.now() >= nextStraySearch && !draining) {
        nextStraySearch = store.now() + jittered(options.straySearchInterval);
        co_await scanShard(static_cast<std::uint32_t>(random() % activeShards));
    }
}

task<> job_service::implementation::scanLoop(self_pointer self)
{
    while (!self->stopped && !self->draining) {
        try {
            co_await self->scanAll();
            co_await self->leases.giveUpIfIdle(!self->executions.empty());
        } catch (const std::exception &error) {
            logEvent(log_level::Warning, "job_scan_failed", {{"error", error.what()}});
        }
        co_await sleepUntil(self->store, self->store.now() + self->jittered(self->options.scanInterval));
    }
}

task<> job_service::implementation::pollCancels()
{
    const std::string fromStart;
    const row_page page = co_await store.scan(cancelPrefix(leases.own()), fromStart, activeRowsPerScan);
    for (const auto &[job, execution] : std::map(executions)) {
        const std::string key = cancelKey(leases.own(), job);
        const bool cancelled = std::any_of(page.rows.begin(), page.rows.end(), [&](const row &found) {
            return found.key == key;
        });
        if (cancelled) {
            execution->cancelSeen();
        }
    }
}

task<> job_service::implementation::cancelLoop(self_pointer self)
{
    while (!self->stopped) {
        try {
            if (!self->executions.empty() && !self->leases.own().empty()) {
                co_await self->pollCancels();
            }
        } catch (const std::exception &error) {
            logEvent(log_level::Warning, "job_cancel_poll_failed", {{"error", error.what()}});
        }
        co_await sleepUntil(self->store, self->store.now() + self->jittered(self->cancelPollInterval()));
    }
}

task<> job_service::implementation::leaseLoop(self_pointer self)
{
    while (!self->stopped) {
        const bool held = self->leases.held();
        for (const auto &[job, execution] : std::map(self->executions)) {
            execution->leaseHeld(held);
        }
        co_await sleepUntil(self->store, self->store.now() + leaseCheckInterval);
    }
}

/// Removes a job whose time is over: first what cannot be found again without the row, then the rows.
task<> job_service::implementation::removeJob(read_job_row found)
{
    const job_record &job = found.record;
    std::map<std::uint64_t, std::uint32_t>
        next; // Of each coordinator, the segment after its last: it may have been stored without a commit.
    for (std::uint64_t number = 1; number <= job.fencingNumber; ++number) {
        next[number] = 0;
    }
    std::vector<job_segment> segments = job.segments;
    for (const job_segment &segment : job.segments) {
        next[segment.fencingNumber] = std::max(next[segment.fencingNumber], segment.sequence + 1);
    }
    for (const auto &[number, sequence] : next) {
        segments.push_back({.fencingNumber = number, .sequence = sequence});
    }
    for (const job_segment &segment : segments) {
        co_await store.deleteObject(outputObjectName(job.id, segment));
        co_await store.deleteObject(errorsObjectName(job.id, segment));
    }
    transaction change{.id = job.id.text() + "-delete"};
    change.conditions.push_back({.key = jobKey(job.id), .version = found.version});
    for (const std::string &key : {jobKey(job.id), callerJobKey(job.caller, job.id), job.createKey}) {
        change.writes.push_back({.key = key, .value = std::nullopt});
    }
    (void)co_await store.commit(std::move(change));
}

task<> job_service::implementation::sweepPage(std::string &fileCursor, std::string &jobCursor)
{
    fileCursor = co_await files.removeExpired(fileCursor);
    const row_page page = co_await store.scan("job/", jobCursor, rowsPerPage);
    jobCursor = page.more && !page.rows.empty() ? page.rows.back().key : std::string();
    for (const row &found : page.rows) {
        read_job_row job{.record = job_record::fromJson(found.value), .version = found.version};
        if (job.record.expiresAt <= store.now() && isFinal(job.record.status)) {
            co_await removeJob(std::move(job));
        }
    }
}

task<> job_service::implementation::sweepLoop(self_pointer self)
{
    std::string fileCursor;
    std::string jobCursor;
    while (!self->stopped) {
        co_await sleepUntil(self->store, self->store.now() + self->jittered(sweepInterval));
        const std::vector<node_info> nodes = self->hooks.nodes();
        const auto sweeper = ownerOf("job-retention", nodes);
        if (!sweeper || sweeper->id != self->hooks.self.id || self->stopped) {
            continue;
        }
        try {
            co_await self->sweepPage(fileCursor, jobCursor);
        } catch (const std::exception &error) {
            logEvent(log_level::Warning, "job_sweep_failed", {{"error", error.what()}});
        }
    }
}

// The public face

job_service::job_service(asio::io_context &context,
                         const store_port &store,
                         file_service &files,
                         const job_service_hooks &hooks,
                         const job_service_options &options)
    : m_implementation(std::make_shared<implementation>(context, store, files, hooks, options))
{
}

job_service::~job_service()
{
    stop();
}

void job_service::start()
{
    const auto state = m_implementation;
    state->leases.onLost([weak = std::weak_ptr(state)] {
        if (const auto self = weak.lock()) {
            self->leaseLost();
        }
    });
    asio::co_spawn(state->context, implementation::scanLoop(state), asio::detached);
    asio::co_spawn(state->context, implementation::cancelLoop(state), asio::detached);
    asio::co_spawn(state->context, implementation::leaseLoop(state), asio::detached);
    asio::co_spawn(state->context, implementation::sweepLoop(state), asio::detached);
}

void job_service::stop()
{
    m_implementation->stopped = true;
    for (const auto &[job, execution] : std::exchange(m_implementation->executions, {})) {
        execution->abandon();
    }
}

task<> job_service::drain(duration limit)
{
    const auto state = m_implementation;
    state->draining = true;
    const time_point until = state->store.now() + limit;
    for (const auto &[job, execution] : std::map(state->executions)) {
        execution->release();
    }
    while (!state->executions.empty() && state->store.now() < until) {
        co_await sleepUntil(state->store, state->store.now() + drainPollInterval);
    }
    co_await state->leases.release(until);
    stop();
}

task<job_record> job_service::create(caller_id caller, job_request request)
{
    return m_implementation->create(std::move(caller), std::move(request));
}

task<job_record> job_service::show(caller_id caller, job_id job)
{
    const read_job_row found = co_await m_implementation->rowOf(std::move(caller), std::move(job));
    co_return found.record;
}

task<job_page> job_service::list(caller_id caller, job_id after, std::size_t limit)
{
    const auto state = m_implementation;
    const std::string from = after.empty() ? std::string() : callerJobKey(caller, after);
    const row_page rows = co_await orRefuse(state->store.scan(callerJobPrefix(caller), from, limit), state->options.retryAfter);
    job_page page{.jobs = {}, .more = rows.more};
    for (const row &entry : rows.rows) {
        const std::optional<read_job_row> found = co_await orRefuse(state->readRow(job_id(entry.value)), state->options.retryAfter);
        if (found) {
            page.jobs.push_back(found->record);
        }
    }
    co_return page;
}

task<job_record> job_service::cancel(caller_id caller, job_id job)
{
    return m_implementation->cancel(std::move(caller), std::move(job));
}

void job_service::cancelSeen(const job_id &job)
{
    const auto found = m_implementation->executions.find(job);
    if (found != m_implementation->executions.end()) {
        const auto execution = found->second;
        execution->cancelSeen();
    }
}

task<std::vector<job_summary>> job_service::listAll(std::optional<caller_id> caller, std::size_t limit)
{
    const auto state = m_implementation;
    std::vector<job_summary> jobs;
    std::string after;
    for (bool more = true; more && jobs.size() < limit;) {
        const row_page page = co_await orRefuse(state->store.scan("job/", after, rowsPerPage), state->options.retryAfter);
        more = page.more;
        for (const row &found : page.rows) {
            after = found.key;
            const job_record job = job_record::fromJson(found.value);
            if ((!caller || job.caller == *caller) && jobs.size() < limit) {
                jobs.push_back(summaryOf(job));
            }
        }
    }
    co_return jobs;
}

task<job_summary> job_service::showAny(job_id job)
{
    const read_job_row found = co_await m_implementation->rowOf(std::nullopt, std::move(job));
    co_return summaryOf(found.record);
}

task<job_summary> job_service::cancelAny(job_id job)
{
    const job_record cancelled = co_await m_implementation->cancel(std::nullopt, std::move(job));
    co_return summaryOf(cancelled);
}

std::size_t job_service::coordinated() const
{
    return m_implementation->executions.size();
}

job_service::counters job_service::count() const
{
    const job_execution_counters &work = *m_implementation->counters;
    return {.itemsStarted = work.itemsStarted,
            .itemsCommitted = work.itemsCommitted,
            .commits = work.commits,
            .takeovers = m_implementation->takeovers,
            .leasesLost = m_implementation->leasesLost};
}

} // namespace banyan
