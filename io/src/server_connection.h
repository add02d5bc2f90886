#pragma once

#include "banyan/core/byte_share.h"
#include "banyan/core/held_client.h"
#include "banyan/io/asio_types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>

#include <functional>
#include <memory>

namespace banyan {

class client_memory;

/// Why a server reads no more of a request's body.
enum class body_refusal {
    None,
    Shutdown, ///< The server shuts down before the body is complete.
    Memory, ///< Others need the memory that the body takes.
};

/// One accepted connection.
struct server_connection
{
    server_connection(asio::ip::tcp::socket socket, held_client &owner, client_memory *account)
        : stream(std::move(socket))
        , client(owner)
        , memory(account)
    {
    }

    static constexpr std::size_t ownBytes = std::size_t(12) << 10; ///< Of a connection's objects and its first read.

    /// Begins a phase in which the client is awaited.
    void await(client_phase phase);
    /// Records that the client has sent or taken so many bytes.
    void progressed(std::size_t length);

    /// Ends what the connection is busy with, so that what it holds becomes free: a body is refused, an answer stays unfinished.
    void yield();

    /// Whether the connection's end, however it comes, is a reset: what was sent so far must not look complete to the peer.
    void setResetsAtEnd(bool value);

    boost::beast::tcp_stream stream;
    held_client &client; ///< Valid while the connection is served.
    client_memory *memory; ///< Null if nothing bounds what is held.
    byte_share held; ///< The connection itself, and the bytes read ahead.
    boost::beast::flat_buffer buffer;
    bool idle = true; ///< Between two requests.
    bool resetsAtEnd = false;
    bool readsBody = false; ///< Waits for more of a request's body.
    body_refusal refusal = body_refusal::None;
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
