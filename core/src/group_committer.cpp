#include "banyan/core/group_committer.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

namespace banyan {

namespace {

/// The lease is renewed this many times per lease duration.
constexpr int renewalsPerDuration = 3;
constexpr unsigned maximumDoublings = 10;
constexpr row_version unknownVersion = 0;

std::size_t bytesOf(const commit_item &item)
{
    std::size_t bytes = item.addedOwnership.size();
    for (const row_condition &condition : item.conditions) {
        bytes += condition.key.size();
    }
    for (const row_write &write : item.writes) {
        bytes += write.key.size() + write.value.value_or("").size();
    }
    return bytes;
}

/// Adds the keys of the item to @p keys. Returns false if one of them was already present.
bool addKeys(const commit_item &item, std::set<std::string> &keys)
{
    std::set<std::string> own;
    for (const row_condition &condition : item.conditions) {
        own.insert(condition.key);
    }
    for (const row_write &write : item.writes) {
        own.insert(write.key);
    }
    const bool overlaps = std::any_of(own.begin(), own.end(), [&keys](const std::string &key) {
        return keys.contains(key);
    });
    keys.merge(own);
    return !overlaps;
}

/// Parses a lease row; none if the row is absent or malformed.
std::optional<lease_row> parseLease(const std::optional<row> &source)
{
    if (!source) {
        return std::nullopt;
    }
    try {
        return parseLeaseRow(source->value);
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
}

bool hasFailedCondition(const commit_item &item, const std::vector<std::string> &failedKeys)
{
    return std::any_of(item.conditions.begin(), item.conditions.end(), [&failedKeys](const row_condition &condition) {
        return std::find(failedKeys.begin(), failedKeys.end(), condition.key) != failedKeys.end();
    });
}

} // namespace

group_committer::group_committer(group_committer_options options)
    : m_options(std::move(options))
    , m_bucket(m_options.commitsPerSecond, m_options.burst)
    , m_index(m_options.ownedPrefix)
{
}

commit_ticket group_committer::acquire(const std::optional<row> &seen, commit_item first, time_point now)
{
    m_version = seen ? seen->version : 0;
    m_lease = parseLease(seen).value_or(lease_row{});
    m_status = lease_status::Acquiring;
    m_releaseRequested = false;
    m_renewedAt = time_point{};
    const commit_ticket ticket{m_nextTicket++};
    std::vector<pending_item> items;
    items.push_back({.ticket = ticket, .item = std::move(first)});
    addCandidate(std::move(items), now);
    return ticket;
}

void group_committer::release()
{
    if (m_status == lease_status::Held) {
        m_status = lease_status::Releasing;
    }
    m_releaseRequested = true;
}

commit_ticket group_committer::submit(commit_item item)
{
    if (bytesOf(item) > m_options.maximumBytes || item.writes.size() > m_options.maximumWrites) {
        throw std::invalid_argument("commit item: expected at most " + std::to_string(m_options.maximumBytes) + " bytes in "
                                    + std::to_string(m_options.maximumWrites) + " rows, found " + std::to_string(bytesOf(item)) + " in "
                                    + std::to_string(item.writes.size()));
    }
    pending_item pending{.ticket = {m_nextTicket++}, .item = std::move(item)};
    const commit_ticket ticket = pending.ticket;
    if (m_status == lease_status::Lost || m_status == lease_status::NotHeld) {
        finish(pending, commit_status::LeaseLost);
    } else if (pending.item.rejectWhenUnavailable && !storeAvailable()) {
        finish(pending, commit_status::Unavailable);
    } else {
        m_queue.push_back(std::move(pending));
    }
    return ticket;
}

bool group_committer::renewalDue(time_point now) const
{
    const bool needed = m_options.keepAlive || m_index.size() > 0;
    return m_status == lease_status::Held && needed && now - m_renewedAt >= m_options.leaseDuration / renewalsPerDuration;
}

bool group_committer::needsCommit(time_point now) const
{
    if (m_status != lease_status::Held && m_status != lease_status::Releasing) {
        return false;
    }
    return !m_queue.empty() || m_status == lease_status::Releasing || renewalDue(now);
}

void group_committer::removeOwnership(const std::string &ownership)
{
    if (m_status != lease_status::Lost && m_status != lease_status::NotHeld) {
        m_removedOwnerships.push_back(ownership);
    }
}

std::optional<store_call> group_committer::nextCall(time_point now)
{
    if (m_call != call_state::None || now < m_retryAt || m_status == lease_status::Lost) {
        return std::nullopt;
    }
    if (m_readBackDue) {
        m_call = call_state::Reading;
        return read_call{m_options.leaseKey};
    }
    if (m_candidates.empty()) {
        if (!needsCommit(now) || !m_bucket.take(now)) {
            return std::nullopt;
        }
        addCandidate(takeBatch(), now);
    }
    m_call = call_state::Committing;
    return commit_call{buildTransaction(m_candidates.back())};
}

std::vector<group_committer::pending_item> group_committer::takeBatch()
{
    std::vector<pending_item> batch;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    std::size_t rows = 0;
    while (!m_queue.empty()) {
        const commit_item &next = m_queue.front().item;
        bytes += bytesOf(next);
        rows += next.writes.size();
        const bool fits = batch.empty() || (bytes <= m_options.maximumBytes && rows <= m_options.maximumWrites);
        if (!addKeys(next, keys) || !fits) {
            break;
        }
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    return batch;
}

void group_committer::addCandidate(std::vector<pending_item> items, time_point now)
{
    const bool acquiring = m_status == lease_status::Acquiring;
    candidate_transaction next{
        .sequence = ++m_sequence, .items = std::move(items), .removedOwnerships = m_removedOwnerships, .firstSentAt = now};
    next.release = m_status == lease_status::Releasing && m_queue.empty();
    next.lease.fencingNumber = m_lease.fencingNumber + (acquiring ? 1 : 0);
    next.lease.holder = next.release ? std::string() : m_options.holder;
    next.lease.previousTransaction = acquiring ? m_lease.transaction : m_lease.previousTransaction;
    next.lease.transaction = m_options.holder + "-" + std::to_string(next.lease.fencingNumber) + "-" + std::to_string(next.sequence);
    m_candidates.push_back(std::move(next));
}

namespace {

template<typename Items>
std::vector<std::string> namesOf(const Items &items, std::string commit_item::*member)
{
    std::vector<std::string> names;
    for (const auto &pending : items) {
        if (!(pending.item.*member).empty()) {
            names.push_back(pending.item.*member);
        }
    }
    return names;
}

} // namespace

std::vector<std::string> group_committer::removedOwnershipsOf(const candidate_transaction &candidate)
{
    std::vector<std::string> removedOwnerships = namesOf(candidate.items, &commit_item::removedOwnership);
    removedOwnerships.insert(removedOwnerships.end(), candidate.removedOwnerships.begin(), candidate.removedOwnerships.end());
    return removedOwnerships;
}

transaction group_committer::buildTransaction(const candidate_transaction &candidate) const
{
    const std::vector<std::string> addedOwnerships = namesOf(candidate.items, &commit_item::addedOwnership);
    const std::vector<std::string> removedOwnerships = removedOwnershipsOf(candidate);
    lease_row lease = candidate.lease;
    const bool ownsNothing = m_index.emptyAfter(addedOwnerships, removedOwnerships);
    lease.idle = !m_options.keepAlive && ownsNothing;
    transaction change{.id = lease.transaction, .conditions = {{.key = m_options.leaseKey, .version = m_version}}};
    const bool remove = candidate.release && m_options.removeOnRelease && ownsNothing;
    change.writes.push_back({.key = m_options.leaseKey, .value = remove ? std::nullopt : std::optional(encodeLeaseRow(lease))});
    for (const row_write &write : m_index.writesFor(candidate.sequence, addedOwnerships, removedOwnerships)) {
        change.writes.push_back(write);
    }
    for (const pending_item &pending : candidate.items) {
        change.conditions.insert(change.conditions.end(), pending.item.conditions.begin(), pending.item.conditions.end());
        change.writes.insert(change.writes.end(), pending.item.writes.begin(), pending.item.writes.end());
    }
    return change;
}

bool group_committer::maybeApplied() const
{
    return std::any_of(m_candidates.begin(), m_candidates.end(), [](const candidate_transaction &candidate) {
        return candidate.maybeApplied;
    });
}

void group_committer::commitAnswered(const commit_result &result, time_point now)
{
    m_call = call_state::None;
    m_failures = 0;
    if (result.committed) {
        recordCommitted(candidate_transaction(m_candidates.back()), result.version);
        return;
    }
    const auto &failed = result.failedKeys;
    if (std::find(failed.begin(), failed.end(), m_options.leaseKey) != failed.end()) {
        m_readBackDue = true;
        return;
    }
    dropConflicting(failed, now);
}

void group_committer::commitFailed(commit_failure failure, time_point now)
{
    m_call = call_state::None;
    if (failure == commit_failure::OutcomeUnknown) {
        m_retryAt = maybeApplied() ? now + m_options.retryDelay : m_retryAt;
        m_candidates.back().maybeApplied = true;
        m_readBackDue = true;
        return;
    }
    recordFailure(now);
    if (maybeApplied()) {
        m_readBackDue = true;
    } else if (m_status != lease_status::Acquiring) {
        std::vector<pending_item> items = std::move(m_candidates.back().items);
        m_candidates.clear();
        requeue(std::move(items));
    }
    rejectQueuedItems();
}

void group_committer::readFailed(time_point now)
{
    m_call = call_state::None;
    recordFailure(now);
    rejectQueuedItems();
}

void group_committer::readAnswered(const std::optional<row> &answer)
{
    m_call = call_state::None;
    m_failures = 0;
    m_readBackDue = false;
    const row_version version = answer ? answer->version : 0;
    if (version == m_version) {
        return; // Not applied yet. The same transaction is sent again, so that at most one of the two takes effect.
    }
    const std::optional<lease_row> found = parseLease(answer);
    for (const candidate_transaction &candidate : m_candidates) {
        if (found && found->transaction == candidate.lease.transaction) {
            recordCommitted(candidate_transaction(candidate), version);
            return;
        }
        if (found && found->previousTransaction == candidate.lease.transaction) {
            recordCommitted(candidate_transaction(candidate), unknownVersion); // The version of the row is that of the takeover.
            loseLease(true);
            return;
        }
        if (!answer && candidate.release && m_options.removeOnRelease) {
            recordCommitted(candidate_transaction(candidate), version);
            return;
        }
    }
    loseLease(certainlyNotApplied(found));
}

bool group_committer::certainlyNotApplied(const std::optional<lease_row> &found) const
{
    if (!maybeApplied()) {
        return true;
    }
    const std::uint64_t successor = m_lease.fencingNumber + 1;
    return found && found->fencingNumber <= successor;
}

void group_committer::dropConflicting(const std::vector<std::string> &failedKeys, time_point now)
{
    const bool undecided = maybeApplied();
    std::vector<pending_item> remaining;
    for (const pending_item &pending : m_candidates.back().items) {
        if (!hasFailedCondition(pending.item, failedKeys)) {
            remaining.push_back(pending);
        } else if (!undecided) {
            finish(pending, commit_status::Conflict);
        }
    }
    if (undecided) {
        addCandidate(std::move(remaining), now);
        return;
    }
    m_candidates.clear();
    if (m_status == lease_status::Acquiring) {
        m_status = lease_status::NotHeld;
        failQueuedItems();
        return;
    }
    requeue(std::move(remaining));
}

void group_committer::recordCommitted(const candidate_transaction &candidate, row_version version)
{
    for (const pending_item &pending : candidate.items) {
        finish(pending, commit_status::Committed, version);
    }
    finishDroppedItems(candidate);
    m_index.apply(candidate.sequence, namesOf(candidate.items, &commit_item::addedOwnership), removedOwnershipsOf(candidate));
    std::erase_if(m_removedOwnerships, [&candidate](const std::string &record) {
        return std::find(candidate.removedOwnerships.begin(), candidate.removedOwnerships.end(), record)
               != candidate.removedOwnerships.end();
    });
    m_candidates.clear();
    m_version = version;
    m_lease = candidate.lease;
    m_renewedAt = candidate.firstSentAt;
    if (candidate.release) {
        m_status = lease_status::NotHeld;
        failQueuedItems();
    } else {
        m_status = m_releaseRequested ? lease_status::Releasing : lease_status::Held;
    }
}

void group_committer::finishDroppedItems(const candidate_transaction &candidate)
{
    std::set<commit_ticket> finished;
    for (const pending_item &pending : candidate.items) {
        finished.insert(pending.ticket);
    }
    for (const pending_item &pending : m_candidates.front().items) {
        if (!finished.contains(pending.ticket)) {
            finish(pending, commit_status::Conflict);
        }
    }
}

void group_committer::loseLease(bool neverApplied)
{
    if (!m_candidates.empty()) {
        for (const pending_item &pending : m_candidates.front().items) {
            finish(pending, neverApplied ? commit_status::LeaseLost : commit_status::Unknown);
        }
    }
    failQueuedItems();
    m_candidates.clear();
    m_index = ownership_index(m_options.ownedPrefix);
    m_removedOwnerships.clear();
    m_status = lease_status::Lost;
}

void group_committer::failQueuedItems()
{
    for (const pending_item &pending : m_queue) {
        finish(pending, commit_status::LeaseLost);
    }
    m_queue.clear();
}

void group_committer::rejectQueuedItems()
{
    std::deque<pending_item> remaining;
    for (pending_item &pending : m_queue) {
        if (pending.item.rejectWhenUnavailable) {
            finish(pending, commit_status::Unavailable);
        } else {
            remaining.push_back(std::move(pending));
        }
    }
    m_queue = std::move(remaining);
}

void group_committer::requeue(std::vector<pending_item> items)
{
    for (auto item = items.rbegin(); item != items.rend(); ++item) {
        m_queue.push_front(std::move(*item));
    }
}

void group_committer::recordFailure(time_point now)
{
    m_retryAt = now + retryAfter();
    ++m_failures;
}

void group_committer::storeAnswered(time_point now)
{
    m_failures = 0;
    m_retryAt = std::min(m_retryAt, now);
}

duration group_committer::retryAfter() const
{
    const duration delay = m_options.retryDelay * (1U << std::min(m_failures, maximumDoublings));
    return std::min(delay, m_options.maximumRetryDelay);
}

void group_committer::finish(const pending_item &item, commit_status status, row_version version)
{
    m_outcomes.push_back({.ticket = item.ticket, .status = status, .version = version});
}

std::vector<commit_outcome> group_committer::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

std::optional<time_point> group_committer::nextWakeUp(time_point now) const
{
    if (m_call != call_state::None || m_status == lease_status::Lost || m_status == lease_status::NotHeld) {
        return std::nullopt;
    }
    if (m_readBackDue || !m_candidates.empty()) {
        return std::max(m_retryAt, now);
    }
    if (needsCommit(now)) {
        return std::max(m_retryAt, m_bucket.nextToken(now));
    }
    if (m_options.keepAlive || m_index.size() > 0) {
        return m_renewedAt + m_options.leaseDuration / renewalsPerDuration;
    }
    return std::nullopt;
}

void group_committer::setCommitsPerSecond(double rate, time_point now)
{
    m_bucket.setRate(rate, now);
}

bool group_committer::isHeld(time_point now) const
{
    const bool holdsLease = m_status == lease_status::Held || m_status == lease_status::Releasing;
    return holdsLease && now - m_renewedAt < m_options.leaseDuration;
}

std::size_t group_committer::pendingCount() const
{
    return m_queue.size() + (m_candidates.empty() ? 0 : m_candidates.front().items.size());
}

} // namespace banyan
