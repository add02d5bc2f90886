#include "prefix_affinity.h"

namespace banyan {

prefix_affinity::prefix_affinity(std::size_t capacity)
    : m_capacity(capacity)
{
}

void prefix_affinity::recordRun(std::uint64_t prefix, const upstream_id &upstream)
{
    if (prefix == 0) {
        return;
    }
    const auto found = m_index.find(prefix);
    if (found != m_index.end()) {
        m_entries.erase(found->second);
    }
    m_entries.push_front({.prefix = prefix, .upstream = upstream});
    m_index[prefix] = m_entries.begin();
    if (m_entries.size() > m_capacity) {
        m_index.erase(m_entries.back().prefix);
        m_entries.pop_back();
    }
}

const upstream_id *prefix_affinity::upstreamOf(std::uint64_t prefix) const
{
    const auto found = m_index.find(prefix);
    return found == m_index.end() ? nullptr : &found->second->upstream;
}

} // namespace banyan
