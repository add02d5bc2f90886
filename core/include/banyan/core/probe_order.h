#pragma once

#include "banyan/core/identifier.h"

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace banyan {

class member_table;

/// The order in which a node probes the others: all of them once in a random order, then anew in another one.
/// A failed node is so probed by each other node after at most two rounds.
class probe_order
{
public:
    /// The next running node; none if there is none.
    [[nodiscard]] std::optional<node_id> next(const member_table &members, std::mt19937_64 &random);

    /// Puts a node that has joined at a random place of the present round; if that has passed, the next round has it.
    void insert(const node_id &id, std::mt19937_64 &random);

private:
    std::vector<node_id> m_order;
    std::size_t m_position = 0;
};

/// Up to @p count different random elements of @p ids, without @p excluded.
[[nodiscard]] std::vector<node_id>
sample(std::span<const node_id> ids, std::size_t count, const node_id &excluded, std::mt19937_64 &random);

} // namespace banyan
