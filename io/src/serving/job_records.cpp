#include "job_records.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/serving/serving_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace banyan {

namespace {

constexpr std::size_t partCount = 8; // Distributes transactions, which the store serialises within a part.
constexpr std::size_t maximumRowBytes = 48000; // Size of a value; below the store's limit, which applies to the encoded bytes.
constexpr std::size_t maximumRowsPerRead = 500; // The store's limit for a page.
constexpr std::size_t maximumCheckpointBytes = std::size_t(500) << 10; // Per transaction; half of the store's limit.
constexpr std::size_t maximumWritesPerTransaction = 90; // The store accepts 100 entries per transaction.
constexpr int positionDigits = 6;
const std::string itemsTable = "job_items";
const std::string resultsTable = "job_results";
const std::string progressTable = "job_progress";

const std::string &partOf(const job_id &id)
{
    return job_records::parts()[XXH32(id.text().data(), id.text().size(), 0) % partCount];
}

table_key entryKey(const job_id &id)
{
    return {.table = job_records::table(), .part = partOf(id), .key = id.text()};
}

table_key itemsKey(const job_id &id)
{
    return {.table = itemsTable, .part = partOf(id), .key = id.text()};
}

std::string objectName(const job_id &id)
{
    return "job-" + id.text();
}

/// The part of a result's key after the job id; keys sort by position, and within a position by piece.
std::string positionText(std::uint32_t position, std::size_t piece)
{
    char text[32];
    std::snprintf(text, sizeof text, "/%0*u/%03zu", positionDigits, position, piece);
    return text;
}

table_key resultKey(const job_id &id, std::uint32_t position, std::size_t piece)
{
    return {.table = resultsTable, .part = partOf(id), .key = id.text() + positionText(position, piece)};
}

table_key progressKey(const job_id &id, const std::string &item)
{
    return {.table = progressTable, .part = partOf(id), .key = id.text() + "/" + item};
}

std::uint32_t positionOf(const job_id &id, const table_row &row)
{
    return static_cast<std::uint32_t>(std::stoul(row.name.key.substr(id.text().size() + 1, positionDigits)));
}

std::optional<row_version> versionOf(const table_commit &commit)
{
    return commit.committed ? std::optional(commit.version) : std::nullopt;
}

/// Returns the same store with a read function that updates the clock from the time in each page.
table_store withClockUpdates(std::shared_ptr<store_clock> clock, table_store store)
{
    table_store result = store;
    result.read = [clock = std::move(clock), read = std::move(store.read)](table_range range) -> task<table_page> {
        const time_point sentAt = currentTime();
        table_page page = co_await read(std::move(range));
        clock->observe(page.storeTime, sentAt, currentTime());
        co_return page;
    };
    return result;
}

} // namespace

job_records::job_records(table_store store)
    : m_clock(std::make_shared<store_clock>())
    , m_store(withClockUpdates(m_clock, std::move(store)))
{
}

const std::string &job_records::table()
{
    static const std::string name = "jobs";
    return name;
}

const std::vector<std::string> &job_records::parts()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> result;
        for (std::size_t index = 0; index < partCount; ++index) {
            result.push_back("p" + std::to_string(index));
        }
        return result;
    }();
    return names;
}

std::optional<job_entry> job_records::entryOf(const table_row &row) const
{
    std::optional<job_entry> entry = decodeJobEntry(job_id(row.name.key), row.version, row.value);
    if (entry) {
        entry->submittedAt = m_clock->toLocalTime(entry->submittedAt.time_since_epoch());
    }
    return entry;
}

table_write job_records::writeOf(const job_entry &entry) const
{
    job_entry stored = entry;
    stored.submittedAt = time_point(m_clock->toStoreTime(entry.submittedAt));
    return {.name = entryKey(entry.id), .value = encode(stored)};
}

task<std::optional<row_version>> job_records::create(job_entry entry, std::vector<job_item> items)
{
    if (!m_clock->isSet()) {
        (void)co_await find(entry.id); // Any read sets the clock.
    }
    std::string bytes = encode(items);
    entry.itemsInObject = bytes.size() > maximumRowBytes;
    table_transaction change;
    change.conditions.push_back({.name = entryKey(entry.id), .version = 0});
    if (entry.itemsInObject) {
        co_await m_store.putObject(objectName(entry.id), std::move(bytes));
    } else {
        change.writes.push_back({.name = itemsKey(entry.id), .value = std::move(bytes)});
    }
    change.writes.push_back(writeOf(entry));
    co_return versionOf(co_await m_store.commit(std::move(change)));
}

task<std::optional<row_version>> job_records::update(job_entry entry)
{
    table_transaction change;
    change.conditions.push_back({.name = entryKey(entry.id), .version = entry.version});
    change.writes.push_back(writeOf(entry));
    co_return versionOf(co_await m_store.commit(std::move(change)));
}

task<std::optional<row_version>> job_records::recordResults(job_entry entry, result_batch batch)
{
    table_transaction change;
    change.conditions.push_back({.name = entryKey(entry.id), .version = entry.version});
    for (std::size_t index = 0; index < batch.results.size(); ++index) {
        const std::string bytes = encode(batch.results[index]);
        const auto position = static_cast<std::uint32_t>(batch.first + index);
        for (std::size_t piece = 0; piece * maximumRowBytes < bytes.size(); ++piece) {
            change.writes.push_back(
                {.name = resultKey(entry.id, position, piece), .value = bytes.substr(piece * maximumRowBytes, maximumRowBytes)});
        }
    }
    for (const std::string &item : batch.checkpointedItems) {
        change.removals.push_back(progressKey(entry.id, item));
    }
    if (batch.entryChanged) {
        change.writes.push_back(writeOf(entry));
    }
    co_return versionOf(co_await m_store.commit(std::move(change)));
}

task<std::optional<std::vector<item_checkpoint>>>
job_records::saveCheckpoints(job_entry entry, bool entryChanged, std::vector<item_checkpoint> checkpoints)
{
    table_transaction change;
    change.conditions.push_back({.name = entryKey(entry.id), .version = entry.version});
    if (entryChanged) {
        change.writes.push_back(writeOf(entry));
    }
    std::vector<item_checkpoint> stored;
    std::size_t bytes = 0;
    for (item_checkpoint &checkpoint : checkpoints) {
        std::string value = encode(checkpoint);
        const bool fits = value.size() <= maximumRowBytes && bytes + value.size() <= maximumCheckpointBytes;
        if (fits && change.writes.size() < maximumWritesPerTransaction) {
            bytes += value.size();
            change.writes.push_back({.name = progressKey(entry.id, checkpoint.item), .value = std::move(value)});
            stored.push_back(std::move(checkpoint));
        }
    }
    if (change.writes.empty()) {
        co_return stored;
    }
    const table_commit commit = co_await m_store.commit(std::move(change));
    co_return commit.committed ? std::optional(std::move(stored)) : std::nullopt;
}

task<std::vector<item_checkpoint>> job_records::checkpoints(job_id id)
{
    table_range range{.table = progressTable,
                      .part = partOf(id),
                      .from = id.text() + "/",
                      .to = id.text() + "0", // "0" is the character after "/", which precedes every item.
                      .limit = maximumRowsPerRead};
    std::vector<item_checkpoint> result;
    for (bool more = true; more;) {
        const table_page page = co_await m_store.read(range);
        for (const table_row &row : page.rows) {
            if (std::optional<item_checkpoint> checkpoint = decodeItemCheckpoint(row.value)) {
                result.push_back(std::move(*checkpoint));
            } else {
                // The item runs from its start, as if it had no checkpoint.
                logEvent(log_level::Warning, "job_checkpoint_malformed", {{"job", id.text()}, {"version", std::to_string(row.version)}});
            }
        }
        more = page.more && !page.rows.empty();
        if (more) {
            range.from = page.rows.back().name.key + '\0';
        }
    }
    co_return result;
}

task<std::optional<job_entry>> job_records::find(job_id id)
{
    const table_key key = entryKey(id);
    table_range range{.table = key.table, .part = key.part, .from = key.key, .to = key.key + '\0', .limit = 1};
    const table_page page = co_await m_store.read(std::move(range));
    if (page.rows.empty()) {
        co_return std::nullopt;
    }
    const std::optional<job_entry> entry = entryOf(page.rows.front());
    if (!entry) {
        throw platform_unavailable("expected a job in row " + id.text() + ", found bytes that cannot be read");
    }
    co_return entry;
}

task<std::vector<job_item>> job_records::items(job_entry entry)
{
    std::optional<std::string> bytes;
    if (entry.itemsInObject) {
        bytes = co_await m_store.getObject(objectName(entry.id));
    } else {
        const table_key key = itemsKey(entry.id);
        table_range range{.table = key.table, .part = key.part, .from = key.key, .to = key.key + '\0', .limit = 1};
        const table_page page = co_await m_store.read(std::move(range));
        if (!page.rows.empty()) {
            bytes = page.rows.front().value;
        }
    }
    std::optional<std::vector<job_item>> items = bytes ? decodeJobItems(*bytes) : std::nullopt;
    if (!items) {
        throw platform_unavailable("expected the items of job " + entry.id.text() + ", found "
                                   + (bytes ? "bytes that cannot be read" : "none"));
    }
    co_return std::move(*items);
}

task<std::vector<listed_result>> job_records::results(job_id id, std::uint32_t first)
{
    table_range range{.table = resultsTable,
                      .part = partOf(id),
                      .from = id.text() + positionText(first, 0),
                      .to = id.text() + "0", // "0" is the character after "/", which precedes every position.
                      .limit = maximumRowsPerRead};
    const table_page page = co_await m_store.read(std::move(range));
    std::vector<listed_result> results;
    std::size_t index = 0;
    while (index < page.rows.size()) {
        const std::uint32_t position = positionOf(id, page.rows[index]);
        std::string bytes;
        while (index < page.rows.size() && positionOf(id, page.rows[index]) == position) {
            bytes += page.rows[index++].value;
        }
        // The pieces of the page's last result may continue on the next page.
        const bool mayBeCut = page.more && index == page.rows.size();
        std::optional<listed_result> result = decodeListedResult(bytes);
        if (mayBeCut && !results.empty()) {
            break;
        }
        if (!result) {
            throw platform_unavailable("expected a result at position " + std::to_string(position) + " of job " + id.text()
                                       + ", found bytes that cannot be read");
        }
        results.push_back(std::move(*result));
    }
    co_return results;
}

/// Removes a job's rows from a table whose keys begin with the job's id and a slash.
task<> job_records::removeRows(std::string table, job_id id)
{
    table_range range{
        .table = std::move(table), .part = partOf(id), .from = id.text() + "/", .to = id.text() + "0", .limit = maximumRowsPerRead};
    for (;;) {
        const table_page page = co_await m_store.read(range);
        if (page.rows.empty()) {
            break;
        }
        table_transaction change;
        for (std::size_t index = 0; index < std::min(page.rows.size(), maximumWritesPerTransaction); ++index) {
            change.removals.push_back(page.rows[index].name);
        }
        co_await m_store.commit(std::move(change));
    }
}

task<> job_records::remove(job_entry entry)
{
    co_await removeRows(resultsTable, entry.id);
    co_await removeRows(progressTable, entry.id);
    if (entry.itemsInObject) {
        co_await m_store.dropObject(objectName(entry.id));
    }
    table_transaction change;
    change.removals.push_back(itemsKey(entry.id));
    change.removals.push_back(entryKey(entry.id));
    co_await m_store.commit(std::move(change));
}

} // namespace banyan
