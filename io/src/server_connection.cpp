#include "server_connection.h"

#include "banyan/io/clock.h"

#include <utility>

namespace banyan {

using asio::ip::tcp;

namespace {

/// Whether the peer has closed its side; bytes that wait to be read mean that it has not, as far as can be seen.
bool peerHasClosed(server_connection &connection)
{
    tcp::socket &socket = connection.stream.socket();
    if (!socket.is_open()) {
        return true;
    }
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    const std::size_t length = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return (!error && length == 0) || (error && error != asio::error::would_block);
}

} // namespace

void server_connection::await(client_phase phase)
{
    client.await(phase, currentTime());
}

void server_connection::progressed(std::size_t length)
{
    client.progress.record(length, currentTime());
}

void server_connection::yield()
{
    if (client.phase == client_phase::Body) {
        refusal = body_refusal::Memory;
        if (readsBody) {
            stream.cancel();
        }
        return;
    }
    if (client.phase == client_phase::Answer) {
        setResetsAtEnd(true);
    }
    stream.close();
}

void server_connection::setResetsAtEnd(bool value)
{
    resetsAtEnd = value;
    boost::system::error_code ignored; // The peer has gone.
    stream.socket().set_option(asio::socket_base::linger(value, 0), ignored);
}

void reportDisconnect(server_connection &connection)
{
    if (connection.disconnectHandler) {
        std::exchange(connection.disconnectHandler, nullptr)();
    }
}

void watchPeer(const connection_pointer &connection)
{
    if (connection->watching || !connection->stream.socket().is_open()) {
        return;
    }
    connection->watching = true;
    connection->stream.socket().async_wait(tcp::socket::wait_read, [connection](const boost::system::error_code &error) {
        connection->watching = false;
        if (!connection->idle && (error || peerHasClosed(*connection))) {
            reportDisconnect(*connection);
        }
    });
}

} // namespace banyan
