#include "banyan/core/serving/limit_pools.h"

#include <xxhash.h>

#include <algorithm>

namespace banyan {

namespace {

constexpr std::size_t maximumSentReports = 512; // Those of some seconds at the shortest interval between reports.
constexpr int retentionInLeases = 10; // After which a silent node is forgotten.

std::uint64_t weightOf(std::uint8_t pool, node_key node)
{
    return XXH3_64bits_withSeed(&node, sizeof node, pool);
}

} // namespace

limit_pools::limit_pools(const limit_pools_options &options)
    : m_options(options)
    , m_self(keyOf(options.self))
{
}

void limit_pools::setNodes(std::size_t count, duration leaseTime)
{
    m_nodeCount = count;
    m_options.leaseTime = leaseTime;
}

void limit_pools::setMayKeep(bool mayKeep)
{
    m_mayKeep = mayKeep;
}

bool limit_pools::isHeard(const peer &node, time_point now) const
{
    return now < node.heardAt + m_options.leaseTime;
}

/// The node with the highest weight among those that may keep pools; this node if none is heard.
node_key limit_pools::chosenKeeper(std::uint8_t pool, time_point now) const
{
    node_key chosen = m_self;
    std::uint64_t highest = m_mayKeep ? weightOf(pool, m_self) : 0;
    for (const auto &[key, node] : m_peers) {
        const std::uint64_t weight = weightOf(pool, key);
        if (node.mayKeep && weight > highest && isHeard(node, now)) {
            chosen = key;
            highest = weight;
        }
    }
    return chosen;
}

void limit_pools::renew(std::uint8_t pool, time_point now, limit_pool_report &report)
{
    own_share &own = m_own[pool];
    const node_key keeper = chosenKeeper(pool, now);
    if (own.holder != keeper && now < own.leasedUntil) {
        return; // The share is free when this lease has run out.
    }
    own.holder = keeper;
    own.isUsed = keeper == m_self;
    if (own.isUsed) {
        return;
    }
    const peer &node = m_peers.at(keeper);
    own.leasedUntil = std::max(own.leasedUntil, node.heardAt + m_options.leaseTime);
    report.leases.push_back({.pool = pool, .heard = static_cast<std::uint16_t>(node.sequence), .holder = keeper});
}

void limit_pools::forgetOld(time_point now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        return now - entry.second.heardAt > retentionInLeases * m_options.leaseTime;
    });
    while (m_sent.size() > maximumSentReports) {
        m_sent.pop_front();
    }
}

limit_pool_report limit_pools::report(std::uint64_t sequence, time_point now)
{
    expire(now);
    m_sent.push_back({.sequence = sequence, .at = now});
    forgetOld(now);
    limit_pool_report report{.leaseTime = m_options.leaseTime, .leases = {}, .shares = {}};
    const bool mayLease = now >= m_options.startedAt + m_options.leaseTime;
    for (std::uint8_t pool = 0; pool < poolCount; ++pool) {
        if (mayLease) {
            renew(pool, now, report);
        }
        if (const double share = shareOf(pool); share > 0) {
            report.shares.push_back({.pool = pool, .share = static_cast<float>(share)});
        }
    }
    return report;
}

std::optional<time_point> limit_pools::sentAt(std::uint16_t heard) const
{
    const auto sent = std::find_if(m_sent.rbegin(), m_sent.rend(), [&](const sent_report &report) {
        return static_cast<std::uint16_t>(report.sequence) == heard;
    });
    return sent == m_sent.rend() ? std::nullopt : std::optional(sent->at);
}

void limit_pools::record(const node_id &from, std::uint64_t sequence, bool mayKeep, const limit_pool_report &report, time_point now)
{
    expire(now);
    const node_key owner = keyOf(from);
    peer &node = m_peers[owner];
    // Only the first arrival of a report counts: an owner measures its lease from there.
    if (owner == m_self || (!node.id.empty() && sequence <= node.sequence)) {
        return;
    }
    node = {.id = from, .sequence = sequence, .heardAt = now, .mayKeep = mayKeep, .shares = report.shares};
    for (const pool_lease &lease : report.leases) {
        if (lease.holder != m_self || lease.pool >= poolCount) {
            continue;
        }
        const std::optional<time_point> sent = sentAt(lease.heard);
        if (sent && now < *sent + report.leaseTime) {
            time_point &end = m_received[lease.pool][owner];
            end = std::max(end, *sent + report.leaseTime);
            m_nextEnd = std::min(m_nextEnd.value_or(end), end);
        }
    }
}

double limit_pools::shareOf(std::uint8_t pool) const
{
    if (m_nodeCount == 0) {
        return 0;
    }
    const std::size_t shares = m_received[pool].size() + (m_own[pool].isUsed ? 1 : 0);
    return std::min(1.0, static_cast<double>(shares) / static_cast<double>(m_nodeCount));
}

std::optional<time_point> limit_pools::nextEnd() const
{
    return m_nextEnd;
}

void limit_pools::expire(time_point now)
{
    if (!m_nextEnd || now < *m_nextEnd) {
        return;
    }
    m_nextEnd.reset();
    for (auto &owners : m_received) {
        std::erase_if(owners, [&](const auto &lease) {
            return lease.second <= now;
        });
        for (const auto &[owner, end] : owners) {
            m_nextEnd = std::min(m_nextEnd.value_or(end), end);
        }
    }
}

node_id limit_pools::keeperOf(std::uint8_t pool, time_point now) const
{
    const node_id *keeper = &m_options.self;
    double most = shareOf(pool);
    for (const auto &[key, node] : m_peers) {
        for (const pool_share &held : node.shares) {
            if (held.pool == pool && held.share > most && isHeard(node, now)) {
                keeper = &node.id;
                most = held.share;
            }
        }
    }
    return *keeper;
}

} // namespace banyan
