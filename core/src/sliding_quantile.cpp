#include "sliding_quantile.h"

#include <algorithm>

namespace banyan {

sliding_quantile::sliding_quantile(std::size_t size)
    : m_size(size)
{
}

void sliding_quantile::add(double value)
{
    if (m_values.size() < m_size) {
        m_values.push_back(value);
        return;
    }
    m_values[m_next] = value;
    m_next = (m_next + 1) % m_size;
}

double sliding_quantile::quantile(double share) const
{
    if (m_values.empty()) {
        return 0;
    }
    std::vector<double> sorted = m_values;
    const auto index = std::min(static_cast<std::size_t>(share * static_cast<double>(sorted.size())), sorted.size() - 1);
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

} // namespace banyan
