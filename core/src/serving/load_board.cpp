#include "banyan/core/serving/load_board.h"

namespace banyan {

load_board::load_board(duration memory)
    : m_memory(memory)
{
}

bool load_board::reported(const node_load &load, time_point now)
{
    const auto entry = m_reports.find(load.sender);
    if (entry != m_reports.end() && entry->second.load.sequence >= load.sequence) {
        return false;
    }
    m_reports.insert_or_assign(load.sender, report{.load = load, .receivedAt = now});
    return true;
}

void load_board::expire(time_point now)
{
    std::erase_if(m_reports, [&](const auto &entry) {
        return now - entry.second.receivedAt > m_memory;
    });
}

upstream_usage load_board::usageOf(upstream_key upstream) const
{
    upstream_usage sum;
    for (const auto &[node, entry] : m_reports) {
        const auto found = entry.load.usage.find(upstream);
        if (found != entry.load.usage.end()) {
            sum.online += found->second.online;
            sum.batch += found->second.batch;
            sum.troubled = sum.troubled || found->second.troubled;
        }
    }
    return sum;
}

std::uint32_t load_board::troubledAt(upstream_key upstream) const
{
    std::uint32_t count = 0;
    for (const auto &[node, entry] : m_reports) {
        const auto found = entry.load.usage.find(upstream);
        count += found != entry.load.usage.end() && found->second.troubled ? 1 : 0;
    }
    return count;
}

load_board::batch_holder load_board::largestBatch(upstream_key upstream) const
{
    batch_holder largest;
    for (const auto &[node, entry] : m_reports) {
        const auto found = entry.load.usage.find(upstream);
        if (found != entry.load.usage.end() && found->second.batch > largest.batch) {
            largest = {.batch = found->second.batch, .node = node};
        }
    }
    return largest;
}

std::uint32_t load_board::waitingOnline() const
{
    std::uint32_t sum = 0;
    for (const auto &[node, entry] : m_reports) {
        sum += entry.load.waitingOnline;
    }
    return sum;
}

std::vector<node_id> load_board::nodes() const
{
    std::vector<node_id> result;
    for (const auto &[node, entry] : m_reports) {
        result.push_back(node);
    }
    return result;
}

} // namespace banyan
