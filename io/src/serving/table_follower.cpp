#include "banyan/io/serving/table_follower.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/steady_timer.hpp>

#include <random>

namespace banyan {

namespace {

constexpr std::size_t pageRows = 500; // Maximum of the store.
constexpr std::size_t wholeAnswerBytes = std::size_t(500) << 10; // Half of the store's limit for an answer.
constexpr std::uint32_t failuresOfLoss = 2; // Failed calls in a row after which the store counts as lost.

duration jittered(duration value)
{
    static std::mt19937_64 generator(std::random_device{}());
    return value / 2 + duration(std::uniform_int_distribution<duration::rep>(0, value.count())(generator));
}

/// Whether an answer is so far below the store's limits that it has all changes up to the time of the call.
bool isWhole(const std::vector<table_row> &rows)
{
    std::size_t bytes = 0;
    for (const table_row &row : rows) {
        bytes += row.value.size();
    }
    return rows.size() < pageRows && bytes < wholeAnswerBytes;
}

} // namespace

table_follower::table_follower(asio::io_context &context, table_store store, table_follower_options options, table_observer observer)
    : m_context(context)
    , m_store(std::move(store))
    , m_options(std::move(options))
    , m_observer(std::move(observer))
{
}

task<> table_follower::run()
{
    for (;;) {
        std::string failure;
        try {
            if (m_historyLost) {
                co_await readAll();
            }
            co_await followChanges();
        } catch (const platform_unavailable &error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            recordCallFailure(failure);
            co_await sleep(jittered(m_available ? m_options.confirmationDelay : m_options.retryDelay));
        }
    }
}

task<> table_follower::readAll()
{
    const time_point calledAt = currentTime();
    std::vector<table_row> rows;
    std::optional<row_version> version;
    for (const std::string &part : m_options.parts) {
        table_range range{.table = m_options.table, .part = part, .from = {}, .to = {}, .limit = pageRows};
        for (bool more = true; more;) {
            table_page page = co_await m_store.read(range);
            version = std::min(version.value_or(page.version), page.version);
            more = page.more && !page.rows.empty();
            if (more) {
                range.from = page.rows.back().name.key + '\0';
            }
            std::move(page.rows.begin(), page.rows.end(), std::back_inserter(rows));
        }
    }
    recordCallSuccess();
    m_version = version.value_or(0);
    m_versionSince = calledAt;
    m_historyLost = false;
    m_observer.onSnapshot(rows);
    if (m_observer.onRead) {
        m_observer.onRead(calledAt);
    }
}

task<> table_follower::followChanges()
{
    // After a failure, poll without a wait: whether the store answers must be known at once, not with the next change.
    const duration wait = m_failures == 0 ? m_options.wait : duration(0);
    const time_point calledAt = currentTime();
    const time_point since = m_versionSince;
    const table_changes changes = co_await m_store.changes(m_options.table, m_version, wait);
    recordCallSuccess();
    if (changes.historyLost) {
        logEvent(log_level::Info, "table_history_lost", {{"table", m_options.table}, {"version", std::to_string(m_version)}});
        m_historyLost = true;
        co_return;
    }
    applyChanges(changes, since, calledAt);
    co_await sleep(m_options.pause);
}

/// Applies the changes of a call that began at @p calledAt; they were made at @p since or later.
void table_follower::applyChanges(const table_changes &changes, time_point since, time_point calledAt)
{
    if (changes.version >= m_version) {
        m_version = changes.version;
        m_versionSince = std::max(m_versionSince, calledAt);
    }
    if (m_observer.onChangesRead) {
        m_observer.onChangesRead(since);
    }
    for (const table_row &row : changes.rows) {
        m_observer.onChange(row);
    }
    if (!changes.rows.empty() && m_observer.onChangesApplied) {
        m_observer.onChangesApplied();
    }
    if (m_observer.onRead && isWhole(changes.rows)) {
        m_observer.onRead(calledAt);
    }
}

task<bool> table_follower::refresh()
{
    if (m_historyLost) {
        co_return false; // The next regular call reads the whole table.
    }
    const time_point calledAt = currentTime();
    const time_point since = m_versionSince;
    const table_changes changes = co_await m_store.changes(m_options.table, m_version, duration(0));
    if (changes.historyLost || m_historyLost) {
        co_return false;
    }
    applyChanges(changes, since, calledAt);
    co_return true;
}

task<> table_follower::sleep(duration time)
{
    asio::steady_timer timer(m_context, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void table_follower::recordCallSuccess()
{
    m_failures = 0;
    if (!std::exchange(m_available, true)) {
        logEvent(log_level::Info, "store_regained", {{"table", m_options.table}, {"version", std::to_string(m_version)}});
        if (m_observer.onRegained) {
            m_observer.onRegained();
        }
        // Reads all rows again: only this distinguishes registrations that lapsed meanwhile from new ones.
        m_historyLost = true;
    }
}

/// A single failure may be that of a connection. Only a further one, of a call of its own, shows that the store does not answer.
void table_follower::recordCallFailure(const std::string &reason)
{
    ++m_failures;
    if (m_failures < failuresOfLoss) {
        logEvent(
            log_level::Info, "store_call_failed", {{"table", m_options.table}, {"version", std::to_string(m_version)}, {"reason", reason}});
        return;
    }
    if (std::exchange(m_available, false)) {
        logEvent(
            log_level::Warning, "store_lost", {{"table", m_options.table}, {"version", std::to_string(m_version)}, {"reason", reason}});
        if (m_observer.onLost) {
            m_observer.onLost();
        }
    }
}

} // namespace banyan
