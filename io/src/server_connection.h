#pragma once

#include "banyan/io/asio_types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>

#include <functional>
#include <memory>

namespace banyan {

/// One accepted connection.
struct server_connection
{
    explicit server_connection(asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    /// Whether the connection's end, however it comes, is a reset: what was sent so far must not look complete to the peer.
    void setResetsAtEnd(bool value);

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool idle = true; ///< Between two requests.
    bool resetsAtEnd = false;
    bool readsBody = false; ///< Waits for more of a request's body.
    bool refusesBody = false; ///< The server shuts down before the body is complete.
    bool watching = false; ///< A wait for readability is outstanding.
    std::function<void()> disconnectHandler;
};

/// Shared by the coroutine that serves the connection and the wait for its peer to close.
using connection_pointer = std::shared_ptr<server_connection>;

/// Calls the connection's disconnect handler, if there is one, once.
void reportDisconnect(server_connection &connection);

/// Waits for the peer to close its side while a request is in progress, and then calls the disconnect handler.
void watchPeer(const connection_pointer &connection);

} // namespace banyan
