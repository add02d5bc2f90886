#include "lease_recovery.h"

#include "banyan/core/lease_takeover.h"
#include "banyan/core/ownership_index.h"
#include "banyan/io/log.h"
#include "banyan/io/platform_error.h"
#include "record_codec.h"
#include "task_group.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace banyan {

namespace {

constexpr std::size_t pageSize = 500;
constexpr std::size_t recordsAtATime = 64;
constexpr std::size_t deletionsAtATime = 200;
constexpr std::size_t ranksThatWatch = 2; ///< Nodes that look at once after a node that left.
constexpr std::size_t maximumRankDelays = 5;
constexpr duration rankDelay = std::chrono::seconds(1);
constexpr duration idleLeaseRetention = std::chrono::hours(1);
constexpr int looksAfterLost = 8;

} // namespace

lease_recovery::lease_recovery(asio::io_context &context,
                               std::shared_ptr<record_store> records,
                               std::shared_ptr<record_executor> executor,
                               record_service_options options)
    : m_context(context)
    , m_records(std::move(records))
    , m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_observer(m_options.leaseDuration)
    , m_liveNodes({m_options.node})
    , m_random(static_cast<std::minstd_rand::result_type>(std::hash<node_id>()(m_options.node)))
{
}

void lease_recovery::start()
{
    asio::co_spawn(m_context, scanRepeatedly(shared_from_this()), asio::detached);
}

void lease_recovery::stop()
{
    m_stopped = true;
}

void lease_recovery::setLiveNodes(std::vector<node_id> nodes)
{
    std::sort(nodes.begin(), nodes.end());
    std::vector<node_id> gone;
    std::set_difference(m_liveNodes.begin(), m_liveNodes.end(), nodes.begin(), nodes.end(), std::back_inserter(gone));
    m_liveNodes = std::move(nodes);
    for (const node_id &lost : gone) {
        const std::string key = std::string(nodeLeasePrefix) + lost.text();
        if (lost != m_options.node && takeoverRank(key, m_options.node, m_liveNodes) < ranksThatWatch) {
            asio::co_spawn(m_context, watchLost(shared_from_this(), lost), asio::detached);
        }
    }
}

duration lease_recovery::scanPeriod()
{
    const double seconds = static_cast<double>(m_liveNodes.size()) / m_options.fleetScansPerSecond;
    const auto shared = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    const duration period = std::max(m_options.scanInterval, shared);
    std::uniform_int_distribution<std::int64_t> jitter(-period.count() / 4, period.count() / 4);
    return period + duration(jitter(m_random));
}

task<> lease_recovery::scanRepeatedly(std::shared_ptr<lease_recovery> self)
{
    while (!self->m_stopped) {
        co_await sleepUntil(self->m_records->store().port(), self->m_records->store().now() + self->scanPeriod());
        co_await self->m_records->store().waitUntilAvailable();
        co_await self->scan(std::string(nodeLeasePrefix), true);
    }
}

task<> lease_recovery::watchLost(std::shared_ptr<lease_recovery> self, node_id lost)
{
    logEvent(log_level::Info, "node_lost", {{"node", lost.text()}});
    for (int look = 0; look < looksAfterLost && !self->m_stopped; ++look) {
        co_await self->scan(std::string(nodeLeasePrefix) + lost.text(), false);
        co_await sleepUntil(self->m_records->store().port(), self->m_records->store().now() + self->m_options.leaseDuration / 4);
    }
}

task<> lease_recovery::scan(std::string prefix, bool whole)
{
    std::set<std::string> seen;
    std::string after;
    bool more = true;
    try {
        while (more && !m_stopped) {
            const time_point readAt = m_records->store().now();
            const row_page page = co_await m_records->store().port().scan(prefix, after, pageSize);
            for (const row &lease : page.rows) {
                examine(lease, readAt);
                seen.insert(lease.key);
                after = lease.key;
            }
            more = page.more && !page.rows.empty();
        }
    } catch (const platform_unavailable &error) {
        logEvent(log_level::Debug, "lease_scan_failed", {{"error", error.what()}});
        co_return;
    }
    if (whole) {
        m_observer.retain(seen);
    }
}

void lease_recovery::examine(const row &lease, time_point readAt)
{
    lease_row value;
    try {
        value = parseLeaseRow(lease.value);
    } catch (const std::invalid_argument &error) {
        logEvent(log_level::Error, "lease_malformed", {{"lease", lease.key}, {"error", error.what()}});
        return;
    }
    m_observer.observe(lease, readAt);
    const bool own = m_records->store().isOwnLease(lease.key);
    if (own || m_stopped || m_claiming.contains(lease.key)) {
        return;
    }
    if (value.idle) {
        removeIdle(lease);
    } else if (mayBeClaimed(lease, value)) {
        m_claiming.insert(lease.key);
        asio::co_spawn(m_context, takeOver(shared_from_this(), lease), asio::detached);
    }
}

bool lease_recovery::mayBeClaimed(const row &lease, const lease_row &value) const
{
    const std::size_t rank = std::min(takeoverRank(lease.key, m_options.node, m_liveNodes), maximumRankDelays);
    const duration ownDelay = rankDelay * rank;
    const duration unchanged = m_observer.unchangedFor(lease.key);
    const bool released = value.holder.empty();
    return unchanged >= (released ? duration::zero() : m_options.leaseDuration) + ownDelay;
}

void lease_recovery::removeIdle(const row &lease)
{
    const bool first = takeoverRank(lease.key, m_options.node, m_liveNodes) == 0;
    if (!first || m_observer.unchangedFor(lease.key) < idleLeaseRetention) {
        return;
    }
    commit_item removal{.conditions = {{.key = lease.key, .version = lease.version}},
                        .writes = {{.key = lease.key, .value = std::nullopt}},
                        .rejectWhenUnavailable = true};
    asio::co_spawn(m_context, m_records->store().commit(std::move(removal)), asio::detached);
}

task<> lease_recovery::takeOver(std::shared_ptr<lease_recovery> self, row lapsed)
{
    node_store &store = self->m_records->store();
    const node_store::current_lease lease = store.lease();
    commit_item claim = claimLease(lapsed, lease.holder, store.uniqueName());
    claim.writes.push_back(takeoverAuditRow(lapsed, lease.holder, store.uniqueName(), store.now()));
    claim.rejectWhenUnavailable = true;
    const commit_outcome outcome = co_await lease.session->commit(std::move(claim));
    if (outcome.status == commit_status::Committed) {
        logEvent(log_level::Info, "lease_claimed", {{"lease", lapsed.key}, {"claimant", lease.holder}});
        bool complete = false;
        try {
            complete = co_await self->takeOverClaimed(lapsed.key, outcome.version);
        } catch (const platform_unavailable &error) {
            logEvent(log_level::Warning, "takeover_interrupted", {{"lease", lapsed.key}, {"error", error.what()}});
        }
        logEvent(log_level::Info, "takeover_ended", {{"lease", lapsed.key}, {"complete", complete ? "true" : "false"}});
    }
    self->m_claiming.erase(lapsed.key);
}

task<bool> lease_recovery::takeOverClaimed(std::string leaseKey, row_version claimed)
{
    const std::string lostHolder = leaseKey.substr(nodeLeasePrefix.size());
    std::vector<std::string> lists = co_await takeOverListed(lostHolder);
    if (m_stopped) {
        co_return false;
    }
    node_store &store = m_records->store();
    commit_item end{.conditions = {{.key = leaseKey, .version = claimed}}, .writes = {{.key = leaseKey, .value = std::nullopt}}};
    while (!lists.empty()) {
        commit_item deletion;
        while (!lists.empty() && deletion.writes.size() < deletionsAtATime) {
            deletion.writes.push_back({.key = std::move(lists.back()), .value = std::nullopt});
            lists.pop_back();
        }
        const commit_outcome deleted = co_await store.commit(std::move(deletion));
        if (deleted.status != commit_status::Committed) {
            co_return false;
        }
    }
    const commit_outcome ended = co_await store.commit(std::move(end));
    co_return ended.status == commit_status::Committed;
}

task<std::vector<std::string>> lease_recovery::takeOverListed(std::string lostHolder)
{
    std::vector<std::string> lists;
    std::string after;
    bool more = true;
    const auto failures = std::make_shared<std::size_t>(0);
    task_group group(m_context, recordsAtATime);
    while (more) {
        const row_page page = co_await m_records->store().port().scan(ownedRecordsPrefix(lostHolder), after, pageSize);
        for (const row &list : page.rows) {
            for (const std::string &ownership : parseOwnedRecords(list.value)) {
                co_await group.start(takeOverOrCount(shared_from_this(), recordKeyOfOwnership(ownership), lostHolder, failures));
            }
            lists.push_back(list.key);
            after = list.key;
        }
        more = page.more && !page.rows.empty();
    }
    co_await group.finished();
    if (*failures > 0) {
        throw platform_unavailable("records of " + lostHolder + " could not be taken over");
    }
    co_return lists;
}

task<> lease_recovery::takeOverOrCount(std::shared_ptr<lease_recovery> self,
                                       std::string recordKey,
                                       std::string lostHolder,
                                       std::shared_ptr<std::size_t> failures)
{
    try {
        co_await self->takeOverOne(recordKey, std::move(lostHolder));
    } catch (const std::exception &error) {
        logEvent(log_level::Warning, "record_takeover_failed", {{"record", recordKey}, {"error", error.what()}});
        ++*failures;
    }
}

task<bool> lease_recovery::takeOverOne(std::string recordKey, std::string lostHolder)
{
    node_store &store = m_records->store();
    for (;;) {
        const std::optional<versioned_record> seen = co_await m_records->read(recordKey);
        const node_store::current_lease lease = store.lease();
        const auto change = seen ? takeOverRecord(*seen, lostHolder, lease.holder, store.now()) : std::nullopt;
        if (!change) {
            co_return false;
        }
        const std::string request = co_await m_records->textOf(seen->record.request);
        const commit_outcome outcome = co_await lease.session->commit(change->item);
        if (outcome.status == commit_status::Committed) {
            logEvent(log_level::Info, "record_taken_over", {{"record", recordKey}, {"state", std::string(toString(change->after.state))}});
            if (!isFinal(change->after.state)) {
                m_executor->start(recordKey, *change, outcome.version, parseRunRequest(request));
            }
            co_return true;
        }
    }
}

} // namespace banyan
