#include "banyan/core/serving/job_directory.h"

#include "banyan/core/serving/report_hubs.h"

#include <xxhash.h>

#include <algorithm>

namespace banyan {

namespace {

std::uint64_t weightOf(const job_id &job, const node_id &node)
{
    const std::string key = job.text() + '\n' + node.text();
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

job_directory::job_directory(const job_directory_options &options)
    : m_options(options)
{
}

void job_directory::stored(const job_entry &entry)
{
    const auto known = m_jobs.find(entry.id);
    if (known != m_jobs.end()) {
        if (known->second.version > entry.version) {
            return;
        }
        leaveOpen(known->second);
    }
    m_jobs.insert_or_assign(entry.id, entry);
    if (entry.isOpen()) {
        m_open.insert(entry.id);
        m_openTokens[entry.route] += entry.tokensLeft;
    }
}

/// Takes an entry out of what is counted of open jobs.
void job_directory::leaveOpen(const job_entry &entry)
{
    if (m_open.erase(entry.id) > 0) {
        m_openTokens[entry.route] -= entry.tokensLeft;
    }
}

void job_directory::removed(const job_id &id)
{
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        leaveOpen(known->second);
        m_jobs.erase(known);
    }
}

const job_entry *job_directory::find(const job_id &id) const
{
    const auto entry = m_jobs.find(id);
    return entry == m_jobs.end() ? nullptr : &entry->second;
}

void job_directory::heard(const node_id &node, time_point now, scheduling_state state)
{
    if (state == scheduling_state::UpstreamsUncertain && m_ownState == scheduling_state::Ready) {
        return;
    }
    m_heardAt.insert_or_assign(node, now);
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
            m_ended.insert(node);
        }
    }
    for (const node_id &node : nodes) {
        m_ended.erase(node);
    }
    m_registered = nodes;
}

void job_directory::setHubs(const report_hubs &hubs)
{
    m_hubs = hubs.isMesh() ? std::nullopt : std::optional(hubs.hubs());
}

/// Whether a node's silence says that it has gone.
bool job_directory::hearsAll() const
{
    return !m_hubs || m_hubs->contains(m_options.self);
}

bool job_directory::lives(const node_id &owner, time_point now) const
{
    if (owner == m_options.self) {
        return true;
    }
    if (!hearsAll() && !m_hubs->contains(owner)) {
        return m_registered.contains(owner);
    }
    const auto heardAt = m_heardAt.find(owner);
    return !m_ended.contains(owner) && heardAt != m_heardAt.end() && now - heardAt->second < m_options.ownerSilence;
}

/// How long to wait for a sign of an owner that does not seem to live. One that is registered and was never heard may only
/// be new to this node.
duration job_directory::patienceWith(const node_id &owner) const
{
    return m_registered.contains(owner) && !m_heardAt.contains(owner) ? m_options.ownerSilence : duration(0);
}

/// Whether a node may be the first to take over a job that has no living owner. Only hubs know of an owner that has fallen silent.
bool job_directory::isCandidate(const node_id &node, const job_entry &job, time_point now) const
{
    if (m_leaving.contains(node)) {
        return false;
    }
    if (!m_hubs) {
        return lives(node, now);
    }
    const bool allKnow = !m_registered.contains(job.owner);
    return allKnow || (m_hubs->contains(node) && lives(node, now));
}

/// Whether no other candidate has a higher rendezvous weight for the job.
bool job_directory::isFirstChoice(const job_entry &job, time_point now) const
{
    const std::uint64_t own = weightOf(job.id, m_options.self);
    const auto goesBefore = [&](const node_id &node) {
        return node != m_options.self && weightOf(job.id, node) > own && isCandidate(node, job, now);
    };
    if (m_hubs) {
        return std::none_of(m_registered.begin(), m_registered.end(), goesBefore);
    }
    return std::none_of(m_heardAt.begin(), m_heardAt.end(), [&](const auto &entry) {
        return goesBefore(entry.first);
    });
}

/// Forgets nodes that have gone for good.
void job_directory::forgetNodes(time_point now)
{
    std::erase_if(m_heardAt, [&](const auto &heard) {
        return now - heard.second > m_options.nodeMemory && !m_registered.contains(heard.first);
    });
    const auto isForgotten = [this](const node_id &node) {
        return !m_heardAt.contains(node);
    };
    std::erase_if(m_leaving, isForgotten);
    std::erase_if(m_ended, isForgotten);
}

std::vector<job_entry> job_directory::toTakeOver(time_point now)
{
    forgetNodes(now);
    std::erase_if(m_orphanedAt, [&](const auto &orphan) {
        return !m_open.contains(orphan.first);
    });
    std::vector<job_entry> result;
    for (const job_id &id : m_open) {
        const job_entry &entry = m_jobs.at(id);
        if (lives(entry.owner, now)) {
            m_orphanedAt.erase(id);
            continue;
        }
        const time_point since = m_orphanedAt.try_emplace(id, now).first->second;
        const duration patience = patienceWith(entry.owner);
        const bool isDue = now - since >= patience;
        const bool isSecondChoice = hearsAll() && now - since >= patience + m_options.secondChoice;
        if (isDue && (isSecondChoice || isFirstChoice(entry, now))) {
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

std::uint64_t job_directory::openTokens(const std::string &route) const
{
    const auto tokens = m_openTokens.find(route);
    return tokens == m_openTokens.end() ? 0 : tokens->second;
}

std::vector<job_entry> job_directory::olderThan(time_point before) const
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
