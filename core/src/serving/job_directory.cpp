#include "banyan/core/serving/job_directory.h"

#include "banyan/core/serving/report_hubs.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace banyan {

namespace {

std::uint64_t rendezvousWeight(const job_id &job, const node_id &node)
{
    const std::string key = job.text() + '\n' + node.text();
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

job_directory::job_directory(const job_directory_options &options)
    : m_options(options)
{
}

void job_directory::update(const job_entry &entry)
{
    const auto existing = m_jobs.find(entry.id);
    if (existing != m_jobs.end()) {
        if (existing->second.version > entry.version) {
            return;
        }
        removeFromOpen(existing->second);
    }
    m_jobs.insert_or_assign(entry.id, entry);
    if (entry.isOpen()) {
        m_open.insert(entry.id);
        m_openTokens[quotaName(entry.route, entry.organisation)] += entry.tokensLeft;
    }
}

/// Removes an entry from the open jobs and their token sums.
void job_directory::removeFromOpen(const job_entry &entry)
{
    if (m_open.erase(entry.id) > 0) {
        m_openTokens[quotaName(entry.route, entry.organisation)] -= entry.tokensLeft;
    }
}

void job_directory::remove(const job_id &id)
{
    const auto existing = m_jobs.find(id);
    if (existing != m_jobs.end()) {
        removeFromOpen(existing->second);
        m_jobs.erase(existing);
    }
}

const job_entry *job_directory::find(const job_id &id) const
{
    const auto entry = m_jobs.find(id);
    return entry == m_jobs.end() ? nullptr : &entry->second;
}

void job_directory::recordReport(const node_id &node, time_point now, scheduling_state state)
{
    if (state == scheduling_state::UpstreamsUncertain && m_ownState == scheduling_state::Ready) {
        return;
    }
    m_reportedAt.insert_or_assign(node, now);
    if (state == scheduling_state::ShuttingDown) {
        m_leaving.insert(node);
    }
}

void job_directory::setOwnState(scheduling_state state)
{
    m_ownState = state;
}

void job_directory::setRegistered(const std::set<node_id> &nodes)
{
    for (const node_id &node : m_registered) {
        if (!nodes.contains(node)) {
            m_deregistered.insert(node);
        }
    }
    for (const node_id &node : nodes) {
        m_deregistered.erase(node);
    }
    m_registered = nodes;
    m_expectationsChanged = true;
}

void job_directory::setHubs(const report_hubs &hubs)
{
    m_hubs = hubs.isMesh() ? std::nullopt : std::optional(hubs.hubs());
    m_expectationsChanged = true;
}

void job_directory::resumed(time_point now)
{
    for (auto &[node, since] : m_expectedSince) {
        since = now;
    }
}

/// Whether this node receives the reports of all nodes, so that a missing report means that the sender is lost.
bool job_directory::receivesAllReports() const
{
    return !m_hubs || m_hubs->contains(m_options.self);
}

bool job_directory::receivesReportsOf(const node_id &node) const
{
    return receivesAllReports() || m_hubs->contains(node);
}

/// A node that has become a hub, or whose hubs have changed, has not missed the reports that were sent elsewhere before.
void job_directory::expectReports(time_point now)
{
    if (!std::exchange(m_expectationsChanged, false)) {
        return;
    }
    std::erase_if(m_expectedSince, [this](const auto &expected) {
        return !m_registered.contains(expected.first) || !receivesReportsOf(expected.first);
    });
    for (const node_id &node : m_registered) {
        if (receivesReportsOf(node)) {
            m_expectedSince.try_emplace(node, now);
        }
    }
}

bool job_directory::isAlive(const node_id &owner, time_point now) const
{
    if (owner == m_options.self) {
        return true;
    }
    if (!receivesReportsOf(owner)) {
        return m_registered.contains(owner);
    }
    if (m_deregistered.contains(owner)) {
        return false;
    }
    const auto isRecent = [&](const std::map<node_id, time_point> &times) {
        const auto found = times.find(owner);
        return found != times.end() && now - found->second < m_options.ownerTimeout;
    };
    return isRecent(m_reportedAt) || isRecent(m_expectedSince);
}

/// Whether a node may be the first to take over a job without a live owner. Only hubs can detect an unresponsive owner.
bool job_directory::isCandidate(const node_id &node, const job_entry &job, time_point now) const
{
    if (m_leaving.contains(node)) {
        return false;
    }
    if (!m_hubs) {
        return isAlive(node, now);
    }
    const bool allNodesKnow = !m_registered.contains(job.owner);
    return allNodesKnow || (m_hubs->contains(node) && isAlive(node, now));
}

/// Whether no other candidate has a higher rendezvous weight for the job.
bool job_directory::isFirstChoice(const job_entry &job, time_point now) const
{
    const std::uint64_t own = rendezvousWeight(job.id, m_options.self);
    const auto isPreferred = [&](const node_id &node) {
        return node != m_options.self && rendezvousWeight(job.id, node) > own && isCandidate(node, job, now);
    };
    if (m_hubs) {
        return std::none_of(m_registered.begin(), m_registered.end(), isPreferred);
    }
    return std::none_of(m_reportedAt.begin(), m_reportedAt.end(), [&](const auto &entry) {
        return isPreferred(entry.first);
    });
}

/// Forgets nodes that are not registered and have sent no report for the retention time.
void job_directory::forgetGoneNodes(time_point now)
{
    std::erase_if(m_reportedAt, [&](const auto &reported) {
        return now - reported.second > m_options.nodeRetention && !m_registered.contains(reported.first);
    });
    const auto isForgotten = [this](const node_id &node) {
        return !m_reportedAt.contains(node);
    };
    std::erase_if(m_leaving, isForgotten);
    std::erase_if(m_deregistered, isForgotten);
}

std::vector<job_entry> job_directory::dueForTakeover(time_point now)
{
    forgetGoneNodes(now);
    expectReports(now);
    std::erase_if(m_orphanedAt, [&](const auto &orphan) {
        return !m_open.contains(orphan.first);
    });
    std::vector<job_entry> result;
    for (const job_id &id : m_open) {
        const job_entry &entry = m_jobs.at(id);
        if (isAlive(entry.owner, now)) {
            m_orphanedAt.erase(id);
            continue;
        }
        const time_point since = m_orphanedAt.try_emplace(id, now).first->second;
        const bool isFallbackDue = receivesAllReports() && now - since >= m_options.fallbackDelay;
        if (isFallbackDue || isFirstChoice(entry, now)) {
            result.push_back(entry);
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const job_entry &left, const job_entry &right) {
        return left.submittedAt < right.submittedAt;
    });
    return result;
}

std::vector<job_entry> job_directory::owned() const
{
    std::vector<job_entry> result;
    for (const job_id &id : m_open) {
        const job_entry &entry = m_jobs.at(id);
        if (entry.owner == m_options.self) {
            result.push_back(entry);
        }
    }
    return result;
}

std::uint64_t job_directory::openTokens(const std::string &quota) const
{
    const auto tokens = m_openTokens.find(quota);
    return tokens == m_openTokens.end() ? 0 : tokens->second;
}

std::vector<job_entry> job_directory::submittedBefore(time_point before) const
{
    std::vector<job_entry> result;
    for (const auto &[id, entry] : m_jobs) {
        if (entry.submittedAt < before) {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace banyan
