#include "banyan/io/file_service.h"

#include "banyan/core/record_error.h"
#include "banyan/core/row_key.h"
#include "banyan/core/sha256.h"
#include "banyan/io/log.h"
#include "banyan/io/openai_error.h"
#include "job_rows.h"
#include "seed.h"
#include "store_calls.h"

#include <algorithm>
#include <random>
#include <utility>

namespace banyan {

namespace {

constexpr std::size_t rowsPerPage = 100;
constexpr std::string_view batchPurpose = "batch";
constexpr std::string_view allFilesPrefix = "file/";

file_summary summaryOf(const file_record &record)
{
    return {.id = record.id,
            .fileName = record.fileName,
            .purpose = record.purpose,
            .bytes = record.bytes(),
            .createdAt = record.createdAt,
            .expiresAt = record.expiresAt};
}

file_summary summaryOf(const job_record &job, const result_file &file)
{
    return {.id = file.errors ? errorFileId(job.id) : outputFileId(job.id),
            .fileName = job.id.text() + (file.errors ? "_error.jsonl" : "_output.jsonl"),
            .purpose = "batch_output",
            .bytes = file.errors ? job.errorBytes() : job.outputBytes(),
            .createdAt = job.createdAt,
            .expiresAt = job.expiresAt};
}

std::string combinedHash(const std::string &before, const std::string &part)
{
    return sha256Hex(before + sha256Hex(part));
}

} // namespace

struct file_service::implementation : std::enable_shared_from_this<file_service::implementation>
{
    implementation(const store_port &port, const file_service_options &what)
        : store(port)
        , options(what)
        , random(seedOr(what.seed))
    {
    }

    store_port store;
    file_service_options options;
    std::mt19937_64 random;

    task<std::optional<row>> readRow(std::string key)
    {
        co_return co_await orRefuse(store.read(std::move(key)), options.retryAfter);
    }

    task<row_version> writeRow(file_record record, row_version version);
    task<job_record> jobOf(caller_id caller, file_id file, result_file found);
    task<> readObjects(std::vector<std::string> names, content_sink sink);
    task<bool> inUse(caller_id caller, file_id file);
    task<> removeParts(file_id file, std::size_t known, bool probe);
    task<> removeRow(row found, file_record record);
};

struct file_service::upload::implementation
{
    std::shared_ptr<file_service::implementation> service;
    file_record record;
    row_version version = 0;
    part_splitter splitter;
    std::uint64_t bytes = 0;
    std::uint64_t items = 0;

    task<> store(std::string part)
    {
        const file_part description = describePart(part);
        bytes += description.bytes;
        items += description.items;
        if (bytes > service->options.maximumBytes || items > service->options.maximumItems) {
            throw openai_error("Expected a file of at most " + std::to_string(service->options.maximumBytes) + " bytes and "
                                   + std::to_string(service->options.maximumItems) + " lines.",
                               {.status = 413, .code = "file_too_large", .param = "file"});
        }
        record.contentHash = combinedHash(record.contentHash, part);
        const std::string name = partObjectName(record.id, record.parts.size());
        record.parts.push_back(description);
        co_await orRefuse(service->store.putObject(name, std::move(part)), service->options.retryAfter);
    }
};

file_service::file_service(const store_port &store, const file_service_options &options)
    : m_implementation(std::make_shared<implementation>(store, options))
{
}

file_service::~file_service() = default;

file_service::upload::upload(std::unique_ptr<implementation> state)
    : m_state(std::move(state))
{
}

file_service::upload::~upload() = default;
file_service::upload::upload(upload &&) noexcept = default;

/// Writes a file's row on condition of its version and returns the new one. A lost answer is settled by reading back.
task<row_version> file_service::implementation::writeRow(file_record record, row_version version)
{
    const std::string key = fileKey(record.caller, record.id);
    const std::string value = record.toJson();
    transaction change{.id = record.id.text()};
    change.conditions.push_back({.key = key, .version = version});
    change.writes.push_back({.key = key, .value = value});
    try {
        const commit_result result = co_await store.commit(std::move(change));
        if (!result.committed) {
            throw openai_error("The file was changed meanwhile.", {.status = 409, .code = "conflict"});
        }
        co_return result.version;
    } catch (const platform_unavailable &) {
        throw storeUnavailable(options.retryAfter);
    } catch (const platform_outcome_unknown &) {
        logEvent(log_level::Warning, "file_commit_unknown", {{"file", record.id.text()}});
    }
    const std::optional<row> found = co_await readRow(key);
    if (!found || found->value != value) {
        throw storeUnavailable(options.retryAfter);
    }
    co_return found->version;
}

task<file_service::upload> file_service::beginUpload(caller_id caller)
{
    const auto state = m_implementation;
    const time_point now = state->store.now();
    file_record record{.id = file_id(newestFirstId("file-", now, state->random())), .caller = std::move(caller)};
    record.state = file_state::Uploading;
    record.createdAt = now;
    record.expiresAt = now + state->options.uploadLimit;
    const row_version version = co_await state->writeRow(record, 0);
    auto begun = std::make_unique<upload::implementation>(upload::implementation{
        .service = state, .record = std::move(record), .version = version, .splitter = part_splitter(state->options.parts)});
    co_return upload(std::move(begun));
}

task<> file_service::upload::write(std::string piece)
{
    std::vector<std::string> parts;
    try {
        parts = m_state->splitter.add(piece);
    } catch (const line_too_long &error) {
        throw openai_error(error.what(), {.status = 413, .code = "line_too_long", .param = "file"});
    }
    for (std::string &part : parts) {
        co_await m_state->store(std::move(part));
    }
}

task<file_record> file_service::upload::commit(std::string fileName, std::string purpose)
{
    if (purpose != batchPurpose) {
        throw openai_error("Expected the purpose \"batch\", found \"" + purpose + "\".", {.code = "invalid_purpose", .param = "purpose"});
    }
    std::optional<std::string> last = m_state->splitter.finish();
    if (last) {
        co_await m_state->store(*std::move(last));
    }
    file_record &record = m_state->record;
    record.state = file_state::Stored;
    record.fileName = std::move(fileName);
    record.purpose = std::move(purpose);
    record.expiresAt = record.createdAt + m_state->service->options.retention;
    m_state->version = co_await m_state->service->writeRow(record, m_state->version);
    co_return record;
}

task<> file_service::upload::abort()
{
    // What cannot be removed now is removed with the expired row later.
    try {
        co_await m_state->service->removeParts(m_state->record.id, m_state->record.parts.size(), false);
        transaction change{.id = m_state->record.id.text() + "-abort"};
        const std::string key = fileKey(m_state->record.caller, m_state->record.id);
        change.conditions.push_back({.key = key, .version = m_state->version});
        change.writes.push_back({.key = key, .value = std::nullopt});
        (void)co_await m_state->service->store.commit(std::move(change));
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "upload_abort_failed", {{"file", m_state->record.id.text()}, {"error", error.what()}});
    }
}

task<> file_service::implementation::removeParts(file_id file, std::size_t known, bool probe)
{
    for (std::size_t part = 0;; ++part) {
        const std::string name = partObjectName(file, part);
        if (part >= known) {
            if (!probe) {
                co_return;
            }
            const std::optional<std::string> found = co_await store.getObject(name);
            if (!found) {
                co_return;
            }
        }
        co_await store.deleteObject(name);
    }
}

task<job_record> file_service::implementation::jobOf(caller_id caller, file_id file, result_file found)
{
    const std::optional<row> stored = co_await readRow(jobKey(found.job));
    if (!stored) {
        throw notFound("file", file.text());
    }
    job_record job = job_record::fromJson(stored->value);
    if (job.caller != caller) {
        throw notFound("file", file.text());
    }
    co_return job;
}

task<file_service::stored_file> file_service::uploaded(caller_id caller, file_id file)
{
    const auto state = m_implementation;
    const std::optional<row> found = co_await state->readRow(fileKey(caller, file));
    if (!found) {
        throw notFound("file", file.text());
    }
    stored_file result{.record = file_record::fromJson(found->value), .version = found->version};
    if (result.record.state != file_state::Stored) {
        throw notFound("file", file.text());
    }
    co_return result;
}

task<file_summary> file_service::show(caller_id caller, file_id file)
{
    const auto state = m_implementation;
    if (const auto found = parseResultFile(file)) {
        const job_record job = co_await state->jobOf(caller, file, *found);
        co_return summaryOf(job, *found);
    }
    const stored_file stored = co_await uploaded(caller, file);
    co_return summaryOf(stored.record);
}

task<file_page> file_service::list(caller_id caller, file_id after, std::size_t limit)
{
    const auto state = m_implementation;
    const std::string prefix = fileKeyPrefix(caller);
    const std::string from = after.empty() ? std::string() : fileKey(caller, after);
    const row_page rows = co_await orRefuse(state->store.scan(prefix, from, limit), state->options.retryAfter);
    file_page page{.files = {}, .more = rows.more};
    for (const row &found : rows.rows) {
        const file_record record = file_record::fromJson(found.value);
        if (record.state == file_state::Stored) {
            page.files.push_back(summaryOf(record));
        }
    }
    co_return page;
}

task<> file_service::implementation::readObjects(std::vector<std::string> names, content_sink sink)
{
    for (const std::string &name : names) {
        std::optional<std::string> bytes = co_await orRefuse(store.getObject(name), options.retryAfter);
        if (!bytes) {
            throw record_error("object " + name + ": expected it to exist");
        }
        co_await sink(*std::move(bytes));
    }
}

task<> file_service::read(caller_id caller, file_id file, content_sink sink)
{
    const auto state = m_implementation;
    std::vector<std::string> names;
    if (const auto found = parseResultFile(file)) {
        const job_record job = co_await state->jobOf(caller, file, *found);
        for (const job_segment &segment : job.segments) {
            if ((found->errors ? segment.errorBytes : segment.outputBytes) > 0) {
                names.push_back(found->errors ? errorsObjectName(job.id, segment) : outputObjectName(job.id, segment));
            }
        }
    } else {
        const stored_file stored = co_await uploaded(caller, file);
        for (std::size_t part = 0; part < stored.record.parts.size(); ++part) {
            names.push_back(partObjectName(file, part));
        }
    }
    co_await state->readObjects(std::move(names), std::move(sink));
}

/// Whether a job of the caller that is not finished reads the file.
task<bool> file_service::implementation::inUse(caller_id caller, file_id file)
{
    const std::string prefix = callerJobPrefix(caller);
    std::string after;
    for (;;) {
        const row_page page = co_await orRefuse(store.scan(prefix, after, rowsPerPage), options.retryAfter);
        for (const row &entry : page.rows) {
            after = entry.key;
            const std::optional<row> found = co_await readRow(jobKey(job_id(entry.value)));
            if (!found) {
                continue;
            }
            const job_record job = job_record::fromJson(found->value);
            if (job.inputFile == file && !isFinal(job.status)) {
                co_return true;
            }
        }
        if (!page.more) {
            co_return false;
        }
    }
}

/// Removes the row first, on condition that no job was created from it meanwhile, and then the content.
task<> file_service::implementation::removeRow(row found, file_record record)
{
    transaction change{.id = record.id.text() + "-delete"};
    change.conditions.push_back({.key = found.key, .version = found.version});
    change.writes.push_back({.key = found.key, .value = std::nullopt});
    const commit_result result = co_await orRefuse(store.commit(std::move(change)), options.retryAfter);
    if (!result.committed) {
        throw openai_error("The file is in use.", {.status = 409, .code = "file_in_use"});
    }
    co_await orRefuse(removeParts(record.id, record.parts.size(), record.state == file_state::Uploading), options.retryAfter);
}

task<> file_service::remove(caller_id caller, file_id file)
{
    const auto state = m_implementation;
    if (parseResultFile(file)) {
        throw openai_error("A job's results are removed with the job.", {.status = 409, .code = "file_in_use"});
    }
    const stored_file stored = co_await uploaded(caller, file);
    const bool used = co_await state->inUse(caller, file);
    if (used) {
        throw openai_error("A job that is not finished reads the file.", {.status = 409, .code = "file_in_use"});
    }
    row found{.key = fileKey(caller, file), .value = {}, .version = stored.version};
    co_await state->removeRow(std::move(found), stored.record);
}

task<std::string> file_service::removeExpired(std::string after)
{
    const auto state = m_implementation;
    const row_page page = co_await state->store.scan(std::string(allFilesPrefix), after, rowsPerPage);
    std::string next;
    for (const row &found : page.rows) {
        next = found.key;
        file_record record = file_record::fromJson(found.value);
        if (record.expiresAt > state->store.now()) {
            continue;
        }
        const bool used = co_await state->inUse(record.caller, record.id);
        if (!used) {
            co_await state->removeRow(found, std::move(record));
        }
    }
    co_return page.more ? next : std::string();
}

} // namespace banyan
