#include "banyan/core/serving/load_board.h"

#include <algorithm>

namespace banyan {

namespace {

double secondsOf(const upstream_usage &usage)
{
    return std::chrono::duration<double>(std::chrono::milliseconds(usage.remainingWork)).count();
}

} // namespace

load_board::load_board(duration nodeRetention, duration usageRetention)
    : m_nodeRetention(nodeRetention)
    , m_usageRetention(std::min(nodeRetention, usageRetention))
{
}

void load_board::setUsageRetention(duration usageRetention)
{
    m_usageRetention = std::min(m_nodeRetention, usageRetention);
}

bool load_board::record(const node_load &load, time_point now)
{
    auto entry = m_reports.find(load.sender);
    if (entry == m_reports.end()) {
        entry = m_reports.emplace(load.sender, report{.load = load, .receivedAt = now}).first;
    } else if (entry->second.load.sequence < load.sequence) {
        if (entry->second.isCounted) {
            subtract(entry->second);
        }
        entry->second = {.load = load, .receivedAt = now};
    } else {
        return false;
    }
    add(entry->second);
    return true;
}

void load_board::add(const report &added)
{
    for (const auto &[key, usage] : added.load.usage) {
        total_usage &total = m_totals[key];
        total.online += usage.online;
        total.batch += usage.batch;
        total.degradedNodes += usage.degraded ? 1 : 0;
        if (usage.remainingWork > 0) {
            total.work.add(usage.online + usage.batch, secondsOf(usage), added.receivedAt);
        }
    }
    for (const auto &[service, count] : added.load.waitingOnline) {
        m_waitingOnline[service] += count;
    }
}

void load_board::subtract(const report &removed)
{
    for (const auto &[key, usage] : removed.load.usage) {
        total_usage &total = m_totals[key];
        total.online -= usage.online;
        total.batch -= usage.batch;
        total.degradedNodes -= usage.degraded ? 1 : 0;
        if (usage.remainingWork > 0) {
            total.work.remove(usage.online + usage.batch, secondsOf(usage), removed.receivedAt);
        }
        if (total.online + total.batch + total.degradedNodes == 0) {
            m_totals.erase(key);
        }
    }
    for (const auto &[service, count] : removed.load.waitingOnline) {
        m_waitingOnline[service] -= count;
    }
}

void load_board::expire(time_point now)
{
    for (auto &[node, entry] : m_reports) {
        if (entry.isCounted && now - entry.receivedAt > m_usageRetention) {
            subtract(entry);
            entry.isCounted = false;
        }
    }
    std::erase_if(m_reports, [&](const auto &entry) {
        return now - entry.second.receivedAt > m_nodeRetention;
    });
}

bool load_board::isUnresponsive(const node_id &node) const
{
    const auto entry = m_reports.find(node);
    return entry == m_reports.end() || !entry->second.isCounted;
}

const node_load *load_board::reportOf(const node_id &node) const
{
    const auto entry = m_reports.find(node);
    return entry == m_reports.end() || !entry->second.isCounted ? nullptr : &entry->second.load;
}

load_board::total_usage load_board::usageOf(upstream_key upstream) const
{
    const auto total = m_totals.find(upstream);
    return total == m_totals.end() ? total_usage() : total->second;
}

load_board::batch_holder load_board::largestBatch(upstream_key upstream) const
{
    batch_holder largest;
    for (const auto &[node, entry] : m_reports) {
        const auto found = entry.load.usage.find(upstream);
        if (entry.isCounted && found != entry.load.usage.end() && found->second.batch > largest.batch) {
            largest = {.batch = found->second.batch, .node = node};
        }
    }
    return largest;
}

std::uint32_t load_board::waitingOnline(service_key service) const
{
    const auto entry = m_waitingOnline.find(service);
    return entry == m_waitingOnline.end() ? 0 : entry->second;
}

std::vector<node_id> load_board::nodes() const
{
    std::vector<node_id> result;
    for (const auto &[node, entry] : m_reports) {
        result.push_back(node);
    }
    return result;
}

bool load_board::mostAreReady() const
{
    const auto ready = std::count_if(m_reports.begin(), m_reports.end(), [](const auto &entry) {
        return entry.second.load.schedulingState == scheduling_state::Ready;
    });
    return 2 * static_cast<std::size_t>(ready) > m_reports.size();
}

std::vector<node_id> load_board::schedulingNodes(const node_id &self, scheduling_state ownState) const
{
    std::vector<node_id> ready;
    std::vector<node_id> uncertain;
    const auto add = [&](const node_id &node, scheduling_state state) {
        if (state != scheduling_state::ShuttingDown) {
            (state == scheduling_state::Ready ? ready : uncertain).push_back(node);
        }
    };
    for (const auto &[node, entry] : m_reports) {
        add(node, entry.load.schedulingState);
    }
    add(self, ownState);
    if (ready.size() < uncertain.size()) {
        ready.insert(ready.end(), uncertain.begin(), uncertain.end());
    }
    return ready;
}

} // namespace banyan
