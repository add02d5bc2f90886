#include "banyan/core/probe_order.h"

#include "banyan/core/member_table.h"

#include <algorithm>

namespace banyan {

std::optional<node_id> probe_order::next(const member_table &members, std::mt19937_64 &random)
{
    for (int round = 0; round < 2; ++round) {
        while (m_position < m_order.size()) {
            const node_id &candidate = m_order[m_position++];
            const member_update *const known = members.find(candidate);
            if (known != nullptr && isRunning(known->state)) {
                return candidate;
            }
        }
        m_order = members.running();
        std::shuffle(m_order.begin(), m_order.end(), random);
        m_position = 0;
    }
    return std::nullopt;
}

void probe_order::insert(const node_id &id, std::mt19937_64 &random)
{
    // The position is drawn from the whole round. If it were drawn from the rest of the round only, all nodes near the end of
    // their rounds would probe the new node at once.
    std::uniform_int_distribution<std::size_t> draw(0, m_order.size());
    const std::size_t position = draw(random);
    if (position >= m_position) {
        m_order.insert(m_order.begin() + static_cast<std::ptrdiff_t>(position), id);
    }
}

std::vector<node_id> sample(std::span<const node_id> ids, std::size_t count, const node_id &excluded, std::mt19937_64 &random)
{
    std::vector<node_id> result;
    if (ids.empty()) {
        return result;
    }
    // Extra draws compensate for repeated and excluded elements; in a small fleet fewer than @p count may be found.
    constexpr std::size_t drawsPerElement = 4;
    std::uniform_int_distribution<std::size_t> draw(0, ids.size() - 1);
    for (std::size_t draws = 0; draws < drawsPerElement * count && result.size() < count; ++draws) {
        const node_id &candidate = ids[draw(random)];
        if (candidate != excluded && std::find(result.begin(), result.end(), candidate) == result.end()) {
            result.push_back(candidate);
        }
    }
    return result;
}

} // namespace banyan
