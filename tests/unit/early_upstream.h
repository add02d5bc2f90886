#pragma once

#include "unit/raw_upstream.h"

#include "banyan/core/endpoint.h"
#include "banyan/core/serving/replica.h"
#include "banyan/io/asio_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace banyan::tests {

/// What an early_upstream does after the bytes of its answer.
enum class early_end {
    Reset, ///< Resets the connection without having ended its own direction.
    EndsAndReads, ///< Ends its own direction, and reads the request to its end.
    EndsAndIgnores, ///< Ends its own direction, leaves the connection open, and reads nothing more.
    EndsAndResets, ///< Ends its own direction, and resets the connection a moment later.
    Kept, ///< Leaves the connection open, and reads the request to its end.
    Ignored, ///< Leaves the connection open, and reads nothing.
};

/// The bytes that an early_upstream sends, and what follows them.
struct early_answer
{
    std::string bytes;
    early_end end = early_end::Kept;
};

/// An upstream that answers as soon as it has the head of a request, on a thread of its own. Its connections hold little of what it
/// has not read, so that its peer is still writing a long body then; bytesHeldUnread() tells how much.
class early_upstream
{
public:
    /// Called for each request with its head, on the upstream's thread.
    using script = std::function<early_answer(const std::string &head)>;

    explicit early_upstream(script answer)
        : m_script(std::move(answer))
        , m_acceptor(m_context)
    {
        const asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"), 0);
        m_acceptor.open(address.protocol());
        // Accepted connections take both over, if they are set before the listening begins.
        m_acceptor.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(segmentBytes));
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        m_acceptor.bind(address);
        m_acceptor.listen();
        asio::co_spawn(m_context, accept(), asio::detached);
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~early_upstream()
    {
        m_context.stop();
        m_thread.join();
    }

    early_upstream(const early_upstream &) = delete;
    early_upstream &operator=(const early_upstream &) = delete;

    [[nodiscard]] endpoint address() const
    {
        return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

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

    void setScript(script answer)
    {
        const std::lock_guard lock(m_mutex);
        m_script = std::move(answer);
    }

    /// Requests so far.
    [[nodiscard]] int requests() const
    {
        return m_requests;
    }

    /// The bytes of a body that the kernel takes on a connection to this upstream while nobody reads them.
    [[nodiscard]] std::size_t bytesHeldUnread()
    {
        setScript([](const std::string &) {
            return early_answer{.end = early_end::Ignored};
        });
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(m_acceptor.local_endpoint());
        asio::write(socket, asio::buffer(std::string("POST / HTTP/1.1\r\n\r\n")));
        socket.non_blocking(true);
        const std::string block(blockBytes, 'x');
        std::size_t held = 0;
        int idleRounds = 0;
        while (idleRounds < 3) {
            boost::system::error_code error;
            const std::size_t taken = socket.write_some(asio::buffer(block), error);
            held += taken;
            idleRounds = taken == 0 ? idleRounds + 1 : 0;
            if (taken == 0) {
                std::this_thread::sleep_for(moment); // Acknowledgements may make room.
            }
        }
        return held;
    }

private:
    using socket_pointer = std::shared_ptr<asio::ip::tcp::socket>;

    static constexpr int segmentBytes = 536;
    static constexpr int receiveBufferBytes = 2048;
    static constexpr std::size_t blockBytes = std::size_t(64) << 10;
    static constexpr std::chrono::milliseconds moment{20}; ///< For the peer to read what was sent.

    task<> accept()
    {
        for (;;) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    task<> serve(socket_pointer socket)
    {
        std::string head;
        while (head.find("\r\n\r\n") == std::string::npos) {
            char byte = 0;
            co_await socket->async_read_some(asio::buffer(&byte, 1), asio::use_awaitable);
            head += byte;
        }
        ++m_requests;
        const early_answer answer = answerTo(head);
        co_await asio::async_write(*socket, asio::buffer(answer.bytes), asio::use_awaitable);
        co_await finish(std::move(socket), answer.end);
    }

    early_answer answerTo(const std::string &head)
    {
        const std::lock_guard lock(m_mutex);
        return m_script(head);
    }

    task<> finish(socket_pointer socket, early_end end)
    {
        if (end == early_end::EndsAndReads || end == early_end::EndsAndIgnores || end == early_end::EndsAndResets) {
            socket->shutdown(asio::ip::tcp::socket::shutdown_send);
        }
        if (end == early_end::Reset || end == early_end::EndsAndResets) {
            asio::steady_timer timer(m_context, moment);
            co_await timer.async_wait(asio::use_awaitable);
            socket->set_option(asio::socket_base::linger(true, 0));
            socket->close(); // The destructor would switch the option off.
            co_return;
        }
        if (end == early_end::Ignored || end == early_end::EndsAndIgnores) {
            m_ignored.push_back(std::move(socket));
            co_return;
        }
        boost::system::error_code error;
        std::array<char, 4096> dropped{};
        while (!error) {
            co_await socket->async_read_some(asio::buffer(dropped), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    asio::io_context m_context;
    std::mutex m_mutex;
    script m_script;
    std::atomic<int> m_requests = 0;
    std::vector<socket_pointer> m_ignored;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace banyan::tests
