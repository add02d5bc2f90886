#pragma once

#include "banyan/core/serving/replica.h"
#include "banyan/io/asio_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyan::tests {

/// The value of a request's header field; empty if it has none.
inline std::string valueIn(const std::string &request, const std::string &name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    const std::size_t value = at + name.size() + 4;
    return at == std::string::npos ? "" : request.substr(value, request.find('\r', value) - value);
}

/// What a raw_upstream does with the connection after it has written its bytes.
enum class connection_end {
    Kept, ///< Waits for the next request.
    Closed,
    Reset,
    Silent, ///< Keeps the connection open and sends nothing more.
};

/// The bytes that a raw_upstream sends, and what follows them.
struct raw_answer
{
    std::string bytes;
    connection_end end = connection_end::Kept;
};

/// An upstream that sends exact bytes, valid HTTP or not, and ends its connections in the ways that a crashed process can.
class raw_upstream
{
public:
    /// Called for each request with its text and its number, from 0.
    using script = std::function<raw_answer(const std::string &request, std::size_t number)>;

    raw_upstream(asio::io_context &context, script answer)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_answer(std::move(answer))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }
    raw_upstream(const raw_upstream &) = delete;
    raw_upstream &operator=(const raw_upstream &) = delete;

    /// Registrations of this upstream under several ids, so that a request that is tried again comes here each time.
    [[nodiscard]] std::vector<replica> registeredAs(const std::vector<std::string> &ids) const
    {
        std::vector<replica> result;
        result.reserve(ids.size());
        for (const std::string &id : ids) {
            result.push_back(
                {.id = upstream_id(id), .service = service_name("s"), .address = address(), .softwareVersion = "v1", .slots = 4});
        }
        return result;
    }

    [[nodiscard]] endpoint address() const
    {
        return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

    std::vector<std::string> requests;
    std::vector<std::size_t> connections; ///< For each request the number of its connection, from 0.

private:
    using socket_pointer = std::shared_ptr<asio::ip::tcp::socket>;

    task<> accept()
    {
        for (;;) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    task<> serve(socket_pointer socket)
    {
        const std::size_t connection = m_accepted++;
        std::string buffer;
        raw_answer answer;
        while (answer.end == connection_end::Kept) {
            co_await readRequest(*socket, buffer);
            connections.push_back(connection);
            answer = m_answer(requests.back(), requests.size() - 1);
            co_await asio::async_write(*socket, asio::buffer(answer.bytes), asio::use_awaitable);
        }
        if (answer.end == connection_end::Silent) {
            m_silent.push_back(socket);
        } else if (answer.end == connection_end::Reset) {
            // The peer shall read what was sent before the reset discards it.
            asio::steady_timer timer(m_acceptor.get_executor(), std::chrono::milliseconds(20));
            co_await timer.async_wait(asio::use_awaitable);
            socket->set_option(asio::socket_base::linger(true, 0));
            socket->close(); // The destructor would switch the option off.
        }
    }

    task<> readRequest(asio::ip::tcp::socket &socket, std::string &buffer)
    {
        static const std::string lengthMark = "Content-Length: ";
        const std::size_t head = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::use_awaitable);
        const std::size_t mark = buffer.find(lengthMark);
        const std::size_t length = mark < head ? std::stoul(buffer.substr(mark + lengthMark.size())) : 0;
        while (buffer.size() < head + length) {
            char piece[4096];
            const std::size_t count = co_await socket.async_read_some(asio::buffer(piece), asio::use_awaitable);
            buffer.append(piece, count);
        }
        requests.push_back(buffer.substr(0, head + length));
        buffer.erase(0, head + length);
    }

    asio::ip::tcp::acceptor m_acceptor;
    script m_answer;
    std::size_t m_accepted = 0; ///< Connections so far.
    std::vector<socket_pointer> m_silent;
};

} // namespace banyan::tests
