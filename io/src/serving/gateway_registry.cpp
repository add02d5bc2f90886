#include "gateway_registry.h"

#include "banyan/core/serving/registered_gateway.h"
#include "banyan/core/serving/report_hubs.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyan {

namespace {

constexpr duration followPause = std::chrono::seconds(1);
constexpr duration followWait = std::chrono::seconds(4); // The list of gateways rarely changes, and a late update does little harm.
constexpr duration registrationRetryDelay = std::chrono::milliseconds(500);
constexpr duration reviewInterval = std::chrono::milliseconds(500);
constexpr duration shareRetention = std::chrono::minutes(1); // Longer than most gateways stay cut off.
constexpr std::size_t rowsPerTransaction = 10; // A transaction fails as a whole if one of its rows has changed.
constexpr duration longestRegistration = std::chrono::milliseconds(500); // That the shutdown waits for.
constexpr duration registrationPoll = std::chrono::milliseconds(20);
const std::string changedMeanwhile = "a row has changed meanwhile";
const std::string gatewayTable = "gateways";

} // namespace

gateway_registry::gateway_registry(gateway_registry_ports ports)
    : m_ports(std::move(ports))
    , m_monitor({.self = m_ports.self})
{
}

void gateway_registry::start(gateway_entry own)
{
    m_own = std::move(own);
    m_own.answersCalls = true;
    m_follower = std::make_shared<table_follower>(m_ports.context,
                                                  m_ports.store,
                                                  table_follower_options{.table = gatewayTable, .pause = followPause, .wait = followWait},
                                                  observer());
    asio::co_spawn(m_ports.context, m_follower->run(), [follower = m_follower](const std::exception_ptr &) {});
    startRegistering();
}

std::size_t gateway_registry::sharing(time_point now)
{
    std::erase_if(m_removedAt, [&](const auto &removed) {
        return now - removed.second >= shareRetention;
    });
    return m_gateways.size() + m_removedAt.size();
}

void gateway_registry::setHubs(const report_hubs &hubs, time_point now)
{
    m_hubs = &hubs;
    std::map<std::string, registered_gateway> registered;
    for (const auto &[key, entry] : m_gateways) {
        registered.emplace(
            key,
            registered_gateway{
                .node = entry.id, .version = m_versions.at(key), .answersCalls = entry.answersCalls, .calledBy = entry.calledBy});
    }
    m_monitor.setRegistered(registered, hubs, now);
}

void gateway_registry::recordReport(const node_id &node, time_point now)
{
    m_monitor.recordReport(node, now);
}

void gateway_registry::resumed(time_point now)
{
    m_monitor.resumed(now);
}

void gateway_registry::beginShutdown()
{
    m_shuttingDown = true;
}

table_observer gateway_registry::observer()
{
    table_observer observer;
    observer.onSnapshot = [this](const std::vector<table_row> &rows) {
        m_gateways.clear();
        m_versions.clear();
        for (const table_row &row : rows) {
            apply(row);
        }
        applied();
        m_ports.loaded();
    };
    observer.onChange = [this](const table_row &row) {
        apply(row);
    };
    observer.onChangesApplied = [this] {
        applied();
    };
    observer.onRegained = [this] {
        m_monitor.resumed(currentTime());
    };
    return observer;
}

void gateway_registry::apply(const table_row &row)
{
    const std::string &key = row.name.key;
    row_version &known = m_versions[key];
    if (row.version < known) {
        return; // This gateway has changed the row since.
    }
    known = row.version;
    const auto before = m_gateways.extract(key);
    m_sawOwnRow = m_sawOwnRow || key == ownRow().key;
    const std::optional<gateway_entry> entry = row.deleted ? std::nullopt : decodeGatewayEntry(row.value);
    if (entry) {
        m_gateways.emplace(key, *entry);
        m_removedAt.erase(key);
    } else if (!row.deleted) {
        logEvent(log_level::Warning, "gateway_row_malformed", {{"row", key}, {"version", std::to_string(row.version)}});
    } else if (!before.empty() && !before.mapped().calledBy.text().empty()) {
        m_removedAt.emplace(key, currentTime());
    }
}

void gateway_registry::applied()
{
    m_ports.changed();
    keepRegistration();
}

/// Writes the own row anew when others call this gateway, and when they have removed the row.
void gateway_registry::keepRegistration()
{
    const auto own = m_gateways.find(ownRow().key);
    const bool isStored = own != m_gateways.end() && own->second.id == m_ports.self;
    const bool isCalled = isStored && !own->second.calledBy.text().empty();
    if (m_sawOwnRow && !isStored) {
        logEvent(log_level::Warning, "gateway_was_removed", {{"node", m_ports.self.text()}});
        startRegistering();
    } else if (isCalled) {
        startRegistering();
    }
}

void gateway_registry::startRegistering()
{
    if (!m_isRegistering && !m_shuttingDown) {
        m_isRegistering = true;
        asio::co_spawn(m_ports.context, registerSelf(shared_from_this()), asio::detached);
    }
}

table_key gateway_registry::rowOf(const std::string &key)
{
    return {.table = gatewayTable, .part = {}, .key = key};
}

table_key gateway_registry::ownRow() const
{
    return rowOf(m_own.peerAddress.toString());
}

/// Writes the own row. Retries until it succeeds or this gateway is shut down.
task<> gateway_registry::registerSelf(pointer self)
{
    bool registered = false;
    while (!registered && !self->m_shuttingDown) {
        table_transaction change;
        change.writes.push_back({.name = self->ownRow(), .value = encode(self->m_own)});
        const change_outcome outcome = co_await self->commit(std::move(change));
        registered = outcome.failure.empty();
        if (!registered) {
            logEvent(log_level::Warning, "gateway_not_registered", {{"reason", outcome.failure}});
            co_await self->sleep(registrationRetryDelay);
        }
    }
    self->m_isRegistering = false;
    if (registered) {
        logEvent(log_level::Info, "gateway_registered", {{"node", self->m_ports.self.text()}});
        self->m_ports.registered();
    }
}

task<> gateway_registry::sleep(duration time)
{
    asio::steady_timer timer(m_ports.context, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void gateway_registry::housekeep(time_point now)
{
    if (m_isReviewing || m_shuttingDown || now - m_reviewedAt < reviewInterval) {
        return;
    }
    m_reviewedAt = now;
    if (!m_monitor.review(now).isEmpty()) {
        m_isReviewing = true;
        asio::co_spawn(m_ports.context, carryOutReview(shared_from_this()), asio::detached);
    }
}

/// Calls and removes what is due. Others may have done so a moment ago, so the rows are read first: a read costs the store less
/// than a change that fails.
task<> gateway_registry::carryOutReview(pointer self)
{
    if (co_await self->refresh()) {
        const registration_review review = self->m_monitor.review(currentTime());
        bool mayCall = true;
        for (auto next = review.removals.begin(); next != review.removals.end() && mayCall;) {
            const auto end = next + std::min<std::ptrdiff_t>(rowsPerTransaction, review.removals.end() - next);
            const std::vector<std::string> keys(next, end);
            mayCall = co_await self->remove(keys);
            next = end;
        }
        for (auto next = review.calls.begin(); next != review.calls.end() && mayCall;) {
            const auto end = next + std::min<std::ptrdiff_t>(rowsPerTransaction, review.calls.end() - next);
            const std::vector<std::string> keys(next, end);
            if (!co_await self->call(keys) && co_await self->refresh()) {
                const std::vector<std::string> rest = self->stillDue(keys);
                (void)co_await self->call(rest);
            }
            next = end;
        }
    }
    self->m_isReviewing = false;
}

/// Applies all changes of the table up to now. Returns whether the rows are complete.
task<bool> gateway_registry::refresh()
{
    try {
        co_return co_await m_follower->refresh();
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Info, "gateways_not_read", {{"reason", error.what()}});
    }
    co_return false;
}

/// Removes rows if none of them has changed.
task<bool> gateway_registry::remove(std::vector<std::string> keys)
{
    table_transaction change;
    std::string nodes;
    for (const std::string &key : keys) {
        const auto found = m_gateways.find(key);
        if (found != m_gateways.end()) {
            change.conditions.push_back({.name = rowOf(key), .version = m_versions.at(key)});
            change.removals.push_back(rowOf(key));
            nodes.append(nodes.empty() ? "" : ",").append(found->second.id.text());
        }
    }
    if (change.removals.empty()) {
        co_return true;
    }
    const change_outcome outcome = co_await commit(std::move(change));
    logEvent(log_level::Info, "gateways_removed", {{"nodes", nodes}, {"failure", outcome.failure}});
    if (!outcome.failure.empty()) {
        co_return false;
    }
    for (const std::string &key : keys) {
        apply({.name = rowOf(key), .value = {}, .version = outcome.version, .deleted = true});
    }
    m_ports.changed();
    co_return true;
}

/// Those of the rows that are to be called by what is known now.
std::vector<std::string> gateway_registry::stillDue(const std::vector<std::string> &keys) const
{
    const std::vector<std::string> due = m_monitor.review(currentTime()).calls;
    std::vector<std::string> result;
    std::copy_if(keys.begin(), keys.end(), std::back_inserter(result), [&](const std::string &key) {
        return std::find(due.begin(), due.end(), key) != due.end();
    });
    return result;
}

/// Marks rows as called. Returns false if one of them has changed meanwhile.
task<bool> gateway_registry::call(std::vector<std::string> keys)
{
    table_transaction change;
    std::string nodes;
    for (const std::string &key : keys) {
        const auto found = m_gateways.find(key);
        if (found != m_gateways.end()) {
            gateway_entry entry = found->second;
            entry.calledBy = m_ports.self;
            nodes.append(nodes.empty() ? "" : ",").append(entry.id.text());
            change.conditions.push_back({.name = rowOf(key), .version = m_versions.at(key)});
            change.writes.push_back({.name = rowOf(key), .value = encode(entry)});
        }
    }
    if (change.writes.empty()) {
        co_return true;
    }
    const std::vector<table_write> writes = change.writes;
    const change_outcome outcome = co_await commit(std::move(change));
    logEvent(log_level::Info, "gateways_called", {{"nodes", nodes}, {"failure", outcome.failure}});
    if (outcome.failure.empty()) {
        for (const table_write &write : writes) {
            apply({.name = write.name, .value = write.value, .version = outcome.version, .deleted = false});
        }
        setHubs(*m_hubs, currentTime());
    }
    co_return outcome.failure != changedMeanwhile;
}

task<gateway_registry::change_outcome> gateway_registry::commit(table_transaction change)
{
    change_outcome result;
    try {
        const table_commit outcome = co_await m_ports.store.commit(std::move(change));
        result = {.version = outcome.version, .failure = outcome.committed ? std::string() : changedMeanwhile};
    } catch (const platform_unavailable &error) {
        result.failure = error.what();
    } catch (const platform_outcome_unknown &error) {
        result.failure = error.what();
    }
    co_return result;
}

task<> gateway_registry::leave()
{
    for (duration waited{}; m_isRegistering && waited < longestRegistration; waited += registrationPoll) {
        co_await sleep(registrationPoll); // Else a write in progress might follow the removal.
    }
    table_transaction change;
    change.removals.push_back(ownRow());
    const change_outcome outcome = co_await commit(std::move(change));
    logEvent(log_level::Info, "gateway_left", {{"node", m_ports.self.text()}, {"failure", outcome.failure}});
}

} // namespace banyan
