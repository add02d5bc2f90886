#pragma once

#include "banyan/core/identifier.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace banyan {

/// Nodes whose latest reports are still to be passed on: those sent least often first, and of these the newest.
///
/// Each report is handed out a number of times that grows with the logarithm of the fleet's size, which reaches all nodes
/// with high probability.
class update_queue
{
public:
    /// Begins to pass on the latest report on @p id, in place of an earlier one.
    void push(const node_id &id);

    /// Hands out the next id; null if there is none. The id returns to the queue until it was handed out @p limit times.
    /// Each id is handed out once between two calls of beginMessage().
    [[nodiscard]] const node_id *next(std::size_t limit);

    /// Begins a new message.
    void beginMessage();

    [[nodiscard]] bool empty() const
    {
        return m_serials.empty();
    }

private:
    struct entry
    {
        node_id id;
        std::uint64_t serial = 0; // outdated if it differs from m_serials
        std::size_t timesSent = 0;
    };

    void requeueEntries();

    std::vector<std::deque<entry>> m_byTimesSent;
    std::unordered_map<node_id, std::uint64_t> m_serials;
    std::vector<entry> m_handedOut; // in the present message
    std::uint64_t m_lastSerial = 0;
};

} // namespace banyan
