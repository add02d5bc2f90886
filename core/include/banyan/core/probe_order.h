#pragma once

#include "banyan/core/identifier.h"

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace banyan {

class member_table;

/// The order in which a node probes the others: each round visits all of them once, in a new random order.
/// This bounds the time until a node probes a failed one to two rounds.
class probe_order
{
public:
    /// The next running node; none if no other node is running.
    [[nodiscard]] std::optional<node_id> next(const member_table &members, std::mt19937_64 &random);

    /// Inserts a node that has joined at a random position of the current round; if that has passed, the next round visits it.
    void insert(const node_id &id, std::mt19937_64 &random);

private:
    std::vector<node_id> m_order;
    std::size_t m_position = 0;
};

/// Up to @p count distinct random elements of @p ids other than @p excluded.
[[nodiscard]] std::vector<node_id>
sample(std::span<const node_id> ids, std::size_t count, const node_id &excluded, std::mt19937_64 &random);

} // namespace banyan
