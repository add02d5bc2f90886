#pragma once

#include "banyan/core/held_client.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace banyan {

/// The clients of one port, and who of them gives way to others.
class client_ledger
{
public:
    /// The client stays at its place until it is removed.
    held_client &add(std::string address, time_point now);
    void remove(const held_client &client);

    /// Clients that are not chosen to end.
    [[nodiscard]] std::size_t size() const;

    /// Chooses a client that makes memory free by its end, and is slower than the least rate: bodies before answers, then of the
    /// address that holds most, the newest. Null if there is none.
    [[nodiscard]] held_client *chooseForMemory(time_point now);

    /// Chooses a client whose connection gives way to a new one: one that closes, then one that is not in a request and has never
    /// been, of the address with most connections and waiting for the longest, then an idle one that was served, then one that
    /// is slower than the least rate. Null if there is none.
    [[nodiscard]] held_client *chooseForConnection(time_point now);

private:
    held_client *choose(held_client *client);
    held_client *chooseSlow(std::size_t leastBytes, time_point now);

    std::map<std::uint64_t, held_client> m_clients; ///< By serial.
    std::map<std::string, std::size_t> m_connectionsOf; ///< By address.
    std::uint64_t m_lastSerial = 0;
    std::size_t m_yielding = 0;
};

} // namespace banyan
