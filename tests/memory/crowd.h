#pragma once

#include "banyan/core/endpoint.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace banyan::process_tests {

/// What a client reads of what it is sent.
enum class reading {
    Nothing,
    Slowly, ///< A little at a time.
    Everything,
};

/// What each client of a crowd does on its connection: it sends, and stays until the other side closes or the crowd ends.
struct crowd_behaviour
{
    std::string opening; ///< Sent first; each "{client}" in it becomes the number of the client, in four digits.
    std::string piece; ///< Sent after it, again and again.
    std::size_t pieces = 0;
    std::chrono::milliseconds pause{0}; ///< Before each piece.
    std::chrono::milliseconds stagger{0}; ///< From the start of one client to that of the next.
    reading reads = reading::Everything;
};

/// Clients that all do the same to one address, in a thread of their own.
class crowd
{
public:
    crowd(const endpoint &to, std::size_t clients, crowd_behaviour behaviour);
    /// Closes all connections.
    ~crowd();
    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;

    /// Bytes that all clients have sent and received so far.
    [[nodiscard]] std::size_t bytesMoved() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan::process_tests
