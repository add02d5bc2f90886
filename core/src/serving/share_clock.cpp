#include "share_clock.h"

#include <algorithm>

namespace banyan {

double share_clock::startOf(caller_key caller) const
{
    const auto found = m_next.find(caller);
    return found == m_next.end() ? m_now : std::max(m_now, found->second);
}

void share_clock::served(caller_key caller, double cost)
{
    const double start = startOf(caller);
    m_now = std::max(m_now, start);
    m_next[caller] = start + cost;
    std::erase_if(m_next, [this](const auto &entry) {
        return entry.second <= m_now;
    });
}

void share_clock::reset()
{
    m_now = 0;
    m_next.clear();
}

} // namespace banyan
