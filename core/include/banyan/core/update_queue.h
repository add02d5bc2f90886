#pragma once

#include "banyan/core/identifier.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace banyan {

/// Nodes whose latest updates are still to be piggybacked on messages: those sent least often first, then the newest.
///
/// The caller limits the transmissions of each update to a number that grows with the logarithm of the fleet size, which
/// reaches all nodes with high probability.
class update_queue
{
public:
    /// Queues the latest update on @p id in place of an earlier one.
    void push(const node_id &id);

    /// The next id to send; null if there is none. The id returns to the queue until it has been sent @p limit times.
    /// Each id is returned once between two calls of beginMessage().
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
        std::uint64_t serial = 0; // the entry is outdated if this differs from m_serials
        std::size_t timesSent = 0;
    };

    void requeueEntries();

    std::vector<std::deque<entry>> m_byTimesSent;
    std::unordered_map<node_id, std::uint64_t> m_serials;
    std::vector<entry> m_handedOut; // entries of the current message
    std::uint64_t m_lastSerial = 0;
};

} // namespace banyan
