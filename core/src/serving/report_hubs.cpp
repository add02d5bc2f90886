#include "banyan/core/serving/report_hubs.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

namespace banyan {

report_hubs::report_hubs(const report_hub_options &options)
    : m_options(options)
{
}

void report_hubs::setRegistered(const std::map<node_id, double> &processorShares)
{
    m_nodeCount = processorShares.size();
    m_isMesh = processorShares.size() <= m_options.maximumMeshNodes;
    m_hubs.clear();
    if (m_isMesh) {
        return;
    }
    // Largest processor share first; among equal shares the hash order spreads the hubs over the failure domains.
    using rank = std::tuple<double, std::uint64_t, node_id>;
    std::vector<rank> order;
    order.reserve(processorShares.size());
    for (const auto &[node, share] : processorShares) {
        order.emplace_back(-share, XXH3_64bits(node.text().data(), node.text().size()), node);
    }
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(m_options.hubCount, order.size()));
    std::partial_sort(order.begin(), end, order.end());
    for (auto entry = order.begin(); entry != end; ++entry) {
        m_hubs.insert(std::get<node_id>(*entry));
    }
}

duration report_hubs::interval() const
{
    duration interval = m_options.intervalPerPeer * static_cast<duration::rep>(m_isMesh ? m_nodeCount : m_hubs.size());
    if (!m_isMesh && isHub(m_options.self)) {
        interval = m_options.hubIntervalPerPeer * static_cast<duration::rep>(m_nodeCount);
    }
    return std::max(m_options.minimumInterval, interval);
}

duration report_hubs::reportTimeout() const
{
    constexpr int intervals = 2; // Plus half an interval for transmission.
    const duration perPeer = m_isMesh ? m_options.intervalPerPeer : m_options.hubIntervalPerPeer;
    const duration longestInterval = perPeer * static_cast<duration::rep>(m_nodeCount);
    return std::max(m_options.minimumReportTimeout, intervals * longestInterval + longestInterval / 2);
}

} // namespace banyan
