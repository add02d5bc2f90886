#include "banyan/core/serving/forwarder_choice.h"

#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/report_hubs.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr duration avoidanceTime = std::chrono::milliseconds(500); ///< Of a node that did not help.
constexpr duration downTime = std::chrono::seconds(1); ///< For which an upstream that a forwarder did not reach counts as down.

} // namespace

forwarder_choice::forwarder_choice(const load_board &board, const report_hubs &hubs)
    : m_board(board)
    , m_hubs(hubs)
{
}

void forwarder_choice::setNodes(std::vector<forwarder> nodes)
{
    m_nodes = std::move(nodes);
}

/// How much a node should be preferred; 0 if it cannot help.
double forwarder_choice::weightOf(const forwarder &candidate, upstream_key upstream) const
{
    const auto given = m_given.find(candidate.node);
    std::size_t load = given == m_given.end() ? 0 : given->second;
    if (const node_load *const report = m_board.reportOf(candidate.node)) {
        const bool lists = std::find(report->unreachable.begin(), report->unreachable.end(), upstream) != report->unreachable.end();
        if (lists || report->reachesNone || report->schedulingState == scheduling_state::ShuttingDown) {
            return 0;
        }
        load = std::max<std::size_t>(load, report->forwards);
    } else if (m_hubs.reportsTo(candidate.node)) {
        return 0; // It would have reported.
    }
    return candidate.processorShare / static_cast<double>(1 + load);
}

/// Whether a node has not helped lately. It is still better than none: what failed may have been one request only.
bool forwarder_choice::isAvoided(const node_id &node, time_point now) const
{
    const auto avoided = m_avoidedUntil.find(node);
    return avoided != m_avoidedUntil.end() && now < avoided->second;
}

std::optional<forwarder>
forwarder_choice::choose(upstream_key upstream, std::span<const node_id> tried, std::mt19937_64 &generator, time_point now) const
{
    for (const bool withAvoided : {false, true}) {
        std::vector<double> weights;
        weights.reserve(m_nodes.size());
        double sum = 0;
        for (const forwarder &candidate : m_nodes) {
            const bool wasTried = std::find(tried.begin(), tried.end(), candidate.node) != tried.end();
            const bool isLeftOut = wasTried || (!withAvoided && isAvoided(candidate.node, now));
            weights.push_back(isLeftOut ? 0 : weightOf(candidate, upstream));
            sum += weights.back();
        }
        if (sum > 0) {
            return m_nodes[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(generator)];
        }
    }
    return std::nullopt;
}

void forwarder_choice::begun(const node_id &node)
{
    ++m_given[node];
}

void forwarder_choice::ended(const node_id &node)
{
    const auto given = m_given.find(node);
    if (given != m_given.end() && --given->second == 0) {
        m_given.erase(given);
    }
}

void forwarder_choice::failed(const node_id &node, time_point now)
{
    std::erase_if(m_avoidedUntil, [&](const auto &entry) {
        return entry.second <= now;
    });
    m_avoidedUntil[node] = now + avoidanceTime;
}

void forwarder_choice::notReached(upstream_key upstream, time_point now)
{
    std::erase_if(m_downUntil, [&](const auto &entry) {
        return entry.second <= now;
    });
    m_downUntil[upstream] = now + downTime;
}

bool forwarder_choice::isDown(upstream_key upstream, time_point now) const
{
    const auto down = m_downUntil.find(upstream);
    if (down != m_downUntil.end() && now < down->second) {
        return true;
    }
    std::size_t listing = 0;
    std::size_t reaching = 0;
    for (const forwarder &candidate : m_nodes) {
        const node_load *const report = m_board.reportOf(candidate.node);
        if (report != nullptr && !report->reachesNone) {
            const bool lists = std::find(report->unreachable.begin(), report->unreachable.end(), upstream) != report->unreachable.end();
            ++(lists ? listing : reaching);
        }
    }
    return listing > 0 && reaching == 0;
}

} // namespace banyan
