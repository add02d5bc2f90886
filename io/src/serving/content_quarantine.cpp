#include "content_quarantine.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace banyan {

namespace {

const std::string quarantineTable = "stopped_contents";
constexpr duration tablePause = std::chrono::milliseconds(200); // Between two calls for changes.
constexpr duration tableWait = std::chrono::seconds(4); // For a change; quarantines are rare.
constexpr duration retryDelay = std::chrono::milliseconds(500); // Between two commits, also after a failed one.
constexpr std::string_view recorderMark = " by "; // Before the recording node's name in rows of prompt parts.
constexpr std::size_t maximumWrites = 50; // Per transaction; the store accepts up to 100 entries.

table_key rowOf(std::uint64_t fingerprint)
{
    return {.table = quarantineTable, .part = {}, .key = std::to_string(fingerprint)};
}

std::optional<std::uint64_t> fingerprintOf(const table_row &row)
{
    const std::string &key = row.name.key;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), value);
    return error == std::errc() && end == key.data() + key.size() ? std::optional(value) : std::nullopt;
}

} // namespace

content_quarantine::content_quarantine(content_quarantine_ports ports)
    : m_ports(std::move(ports))
    , m_records({}, std::random_device{}())
{
}

void content_quarantine::start()
{
    auto follower =
        std::make_shared<table_follower>(m_ports.context,
                                         m_ports.store,
                                         table_follower_options{.table = quarantineTable, .pause = tablePause, .wait = tableWait},
                                         observer());
    asio::co_spawn(m_ports.context, follower->run(), [follower](const std::exception_ptr &) {});
}

table_observer content_quarantine::observer()
{
    table_observer result;
    result.onSnapshot = [self = shared_from_this()](const std::vector<table_row> &rows) {
        std::set<std::uint64_t> gone = self->m_records.recordedFingerprints();
        for (const table_row &row : rows) {
            gone.erase(fingerprintOf(row).value_or(0));
            self->applyRow(row, currentTime());
        }
        for (const std::uint64_t fingerprint : gone) {
            self->removeRow(fingerprint);
        }
        if (!std::exchange(self->m_isLoaded, true) && self->m_ports.loaded) {
            self->m_ports.loaded();
        }
    };
    result.onChange = [self = shared_from_this()](const table_row &row) {
        self->applyRow(row, currentTime());
    };
    return result;
}

void content_quarantine::applyRow(const table_row &row, time_point now)
{
    const std::optional<std::uint64_t> fingerprint = fingerprintOf(row);
    if (!fingerprint) {
        logEvent(log_level::Warning, "content_stop_malformed", {{"row", row.name.key}, {"version", std::to_string(row.version)}});
    } else if (row.deleted) {
        removeRow(*fingerprint);
    } else if (m_records.addRow(*fingerprint, row.version)) {
        rememberText(*fingerprint, row.value);
        m_ports.quarantine(*fingerprint, row.value, now);
        logEvent(log_level::Info,
                 "content_stop_read",
                 {{"fingerprint", row.name.key}, {"recorded_by", row.value}, {"version", std::to_string(row.version)}});
    }
}

void content_quarantine::rememberText(std::uint64_t fingerprint, const std::string &rowValue)
{
    const std::size_t mark = rowValue.find(recorderMark);
    if (mark != std::string::npos) {
        m_rowTexts[fingerprint] = rowValue.substr(0, mark);
    }
}

void content_quarantine::removeRow(std::uint64_t fingerprint)
{
    m_records.removeRow(fingerprint);
    m_rowTexts.erase(fingerprint);
    m_ports.withdraw(fingerprint);
}

/// Parts of which this node, which has decided their stop, knows more than their rows say: fewer parts are stopped together with
/// them.
std::vector<std::uint64_t> content_quarantine::improvedRows() const
{
    std::vector<std::uint64_t> result;
    for (const std::uint64_t fingerprint : m_ports.locallyQuarantined()) {
        const auto recorded = m_rowTexts.find(fingerprint);
        if (recorded != m_rowTexts.end() && m_ports.rowText(fingerprint).size() < recorded->second.size()) {
            result.push_back(fingerprint);
        }
    }
    return result;
}

void content_quarantine::housekeep(time_point now)
{
    const std::vector<quarantined_fingerprint> quarantined = m_ports.quarantined(now);
    std::vector<std::uint64_t> due = m_records.dueRecords(quarantined, m_ports.locallyQuarantined(), now);
    const std::vector<std::uint64_t> improved = improvedRows();
    due.insert(due.end(), improved.begin(), improved.end());
    const std::vector<outdated_quarantine> outdated = m_records.outdatedRows(quarantined, now);
    if (m_isCommitting || now < m_retryAt || (due.empty() && outdated.empty())) {
        return;
    }
    std::vector<table_transaction> changes;
    if (!due.empty()) {
        changes.emplace_back();
        for (std::size_t index = 0; index < std::min(due.size(), maximumWrites); ++index) {
            std::string text = m_ports.rowText(due[index]);
            text.append(text.empty() ? "" : recorderMark).append(m_ports.self.text());
            changes.back().writes.push_back({.name = rowOf(due[index]), .value = std::move(text)});
        }
    }
    // One transaction each: a row that another node has rewritten must not prevent the removal of the others.
    for (std::size_t index = 0; index < std::min(outdated.size(), maximumWrites); ++index) {
        const table_key row = rowOf(outdated[index].fingerprint);
        table_transaction removal;
        removal.conditions.push_back({.name = row, .version = outdated[index].version});
        removal.removals.push_back(row);
        changes.push_back(std::move(removal));
    }
    m_isCommitting = true;
    asio::co_spawn(m_ports.context, commit(shared_from_this(), std::move(changes)), asio::detached);
}

task<> content_quarantine::commit(std::shared_ptr<content_quarantine> self, std::vector<table_transaction> changes)
{
    std::string failure;
    for (table_transaction &change : changes) {
        const std::vector<table_write> writes = change.writes;
        try {
            const table_commit done = co_await self->m_ports.store.commit(std::move(change));
            for (const table_write &write : writes) {
                // This node has quarantined it already; the change notification that follows has the same version.
                const std::uint64_t fingerprint = *fingerprintOf({.name = write.name});
                self->m_records.addRow(fingerprint, done.version);
                self->rememberText(fingerprint, write.value);
            }
        } catch (const platform_unavailable &error) {
            failure = error.what();
        } catch (const platform_outcome_unknown &error) {
            failure = error.what(); // Writing the row again is harmless.
        }
        if (!failure.empty()) {
            break;
        }
    }
    self->m_isCommitting = false;
    // Removed rows leave m_records with the change notification that follows.
    self->m_retryAt = currentTime() + retryDelay;
    if (!failure.empty()) {
        logEvent(log_level::Warning, "content_stop_not_recorded", {{"reason", failure}});
    }
}

} // namespace banyan
