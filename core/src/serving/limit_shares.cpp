#include "banyan/core/serving/limit_shares.h"

#include "banyan/core/serving/upstream_cell.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace banyan {

namespace {

std::uint32_t hashOf(const std::string &text)
{
    return XXH32(text.data(), text.size(), 0);
}

} // namespace

cell_key keyOf(const service_name &service, const upstream_cell &cell)
{
    return hashOf(service.text() + '/' + std::to_string(cell.index) + '/' + std::to_string(cell.count));
}

node_key keyOf(const node_id &node)
{
    return hashOf(node.text());
}

limit_shares::limit_shares(const limit_shares_options &options)
    : m_options(options)
{
}

void limit_shares::setNodeCount(std::size_t count)
{
    m_nodeCount = count;
}

void limit_shares::setLeaseTime(duration leaseTime)
{
    m_options.leaseTime = leaseTime;
}

std::vector<share_lease> limit_shares::renew(const std::map<cell_key, node_id> &claimedFrom, time_point now)
{
    std::vector<share_lease> leases;
    for (const auto &[cell, node] : claimedFrom) {
        own_share &own = m_own[cell];
        if (own.holder != node && now < own.leasedUntil) {
            continue; // The share is free when this lease has run out.
        }
        own.holder = node;
        if (node != m_options.self && leases.size() < m_options.maximumLeases) {
            own.leasedUntil = now + m_options.leaseTime + m_options.transitTime;
            leases.push_back({.cell = cell, .holder = keyOf(node)});
        }
    }
    return leases;
}

void limit_shares::record(const node_id &from, std::span<const share_lease> leases, time_point now)
{
    for (auto &[cell, owners] : m_received) {
        owners.erase(from);
    }
    for (const share_lease &lease : leases) {
        if (lease.holder == keyOf(m_options.self)) {
            m_received[lease.cell][from] = now + m_options.leaseTime;
        }
    }
}

double limit_shares::shareOf(cell_key cell, time_point now) const
{
    if (m_nodeCount == 0) {
        return 0;
    }
    std::size_t shares = 0;
    const auto own = m_own.find(cell);
    if (own != m_own.end() && own->second.holder == m_options.self) {
        ++shares;
    }
    const auto received = m_received.find(cell);
    if (received != m_received.end()) {
        shares += static_cast<std::size_t>(std::count_if(received->second.begin(), received->second.end(), [&](const auto &lease) {
            return now < lease.second;
        }));
    }
    return std::min(1.0, static_cast<double>(shares) / static_cast<double>(m_nodeCount));
}

void limit_shares::expire(time_point now)
{
    for (auto &[cell, owners] : m_received) {
        std::erase_if(owners, [&](const auto &lease) {
            return now >= lease.second;
        });
    }
    std::erase_if(m_received, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace banyan
