#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/gossip_message.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/fleet_counters.h"

#include <functional>
#include <memory>
#include <string>

namespace banyan {

/// Sends and receives gossip messages over UDP. Datagrams that are not authentic or not well-formed are dropped and counted.
class gossip_transport
{
public:
    gossip_transport(asio::io_context &context, const endpoint &listen, std::string secret);
    ~gossip_transport();

    /// Calls @p handler with each message received.
    void onMessage(std::function<void(const gossip_message &)> handler);

    /// Binds the socket. @throws std::runtime_error if the address cannot be bound
    void open();
    void close();

    /// Where it receives, with the real port.
    [[nodiscard]] endpoint address() const;

    /// Sends without waiting; a datagram that the system does not take is lost.
    void send(const endpoint &to, const gossip_message &message);

    /// The transport's part of the counters.
    [[nodiscard]] const fleet_counters &counters() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
