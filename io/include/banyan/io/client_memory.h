#pragma once

#include "banyan/core/byte_budget.h"
#include "banyan/core/byte_share.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace banyan {

class node_metrics;

/// The process's account of the bytes that it holds for clients, and what is done when there is no room: clients that move
/// less than a least rate end, one after the other, and whoever needs the room waits for a moment.
class client_memory
{
public:
    explicit client_memory(const byte_budget_options &options);

    /// A share of its own in the account.
    [[nodiscard]] byte_share share(memory_holder holder);

    [[nodiscard]] const byte_budget &budget() const;

    /// Adds a holder of clients. It ends one of them that makes memory free, if there is one that may be ended, and returns whether it did.
    void addYielder(std::function<bool(time_point now)> yieldOne);

    /// Resizes @p share, and waits up to @p patience for room. @p stopped ends the wait early. Returns false, and changes nothing, if
    /// there is none.
    [[nodiscard]] task<bool> resize(byte_share &share, std::size_t bytes, duration patience, std::function<bool()> stopped = nullptr);

    /// Sets the gauges of what is held.
    void publish(node_metrics &metrics) const;

private:
    bool yieldOne(time_point now);

    byte_budget m_budget;
    std::vector<std::function<bool(time_point now)>> m_yielders;
    time_point m_yieldedAt; ///< When a client was last looked for to give way.
};

} // namespace banyan
