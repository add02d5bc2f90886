#include "fault_proxy.h"

#include "banyan/io/asio_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>
#include <thread>

namespace banyan::soak {

using asio::ip::tcp;

namespace {

constexpr std::size_t pieceBytes = 16384;

/// Both sides of a forwarded connection.
struct tunnel
{
    explicit tunnel(tcp::socket accepted)
        : client(std::move(accepted))
        , server(client.get_executor())
    {
    }

    void close(bool reset)
    {
        boost::system::error_code ignored;
        for (tcp::socket *const socket : {&client, &server}) {
            if (reset) {
                socket->set_option(tcp::socket::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
    }

    tcp::socket client;
    tcp::socket server;
    bool dropsRequests = false;
    bool dropsAnswers = false;
};

using tunnel_pointer = std::shared_ptr<tunnel>;

} // namespace

class fault_proxy::implementation
{
public:
    explicit implementation(const endpoint &target)
        : m_target(asio::ip::make_address(target.address), target.port)
        , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(m_context, accept(), asio::detached);
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~implementation()
    {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] endpoint address() const
    {
        return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

    void setMode(proxy_mode mode, std::chrono::milliseconds delay)
    {
        asio::post(m_context, [this, mode, delay] {
            m_mode = mode;
            m_delay = delay;
            for (const tunnel_pointer &open : std::set<tunnel_pointer>(m_tunnels)) {
                apply(*open);
            }
        });
    }

private:
    void apply(tunnel &open) const
    {
        open.dropsAnswers = open.dropsAnswers || m_mode == proxy_mode::SilentAnswers || m_mode == proxy_mode::Silent;
        open.dropsRequests = open.dropsRequests || m_mode == proxy_mode::Silent;
        if (m_mode == proxy_mode::Reset) {
            open.close(true);
        }
    }

    task<> accept()
    {
        for (;;) {
            boost::system::error_code error;
            tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            asio::co_spawn(m_context, serve(std::make_shared<tunnel>(std::move(socket))), asio::detached);
        }
    }

    task<> serve(tunnel_pointer open)
    {
        apply(*open);
        boost::system::error_code error;
        co_await open->server.async_connect(m_target, asio::redirect_error(asio::use_awaitable, error));
        if (error || m_mode == proxy_mode::Reset) {
            open->close(true);
            co_return;
        }
        m_tunnels.insert(open);
        asio::co_spawn(m_context, forward(open, false), asio::detached);
        co_await forward(open, true);
    }

    /// Forwards one direction until either side ends.
    task<> forward(tunnel_pointer open, bool answers)
    {
        tcp::socket &from = answers ? open->server : open->client;
        tcp::socket &to = answers ? open->client : open->server;
        std::array<char, pieceBytes> piece{};
        boost::system::error_code error;
        while (!error) {
            const std::size_t length = co_await from.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
            if (m_delay.count() > 0) {
                asio::steady_timer timer(m_context, m_delay);
                boost::system::error_code ignored;
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            }
            if (!error && !(answers ? open->dropsAnswers : open->dropsRequests)) {
                co_await asio::async_write(to, asio::buffer(piece.data(), length), asio::redirect_error(asio::use_awaitable, error));
            }
        }
        open->close(false);
        m_tunnels.erase(open);
    }

    asio::io_context m_context{1};
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    std::set<tunnel_pointer> m_tunnels;
    proxy_mode m_mode = proxy_mode::Pass;
    std::chrono::milliseconds m_delay{0};
    std::thread m_thread;
};

fault_proxy::fault_proxy(const endpoint &target)
    : m_implementation(std::make_unique<implementation>(target))
{
}

fault_proxy::~fault_proxy() = default;

endpoint fault_proxy::address() const
{
    return m_implementation->address();
}

void fault_proxy::setMode(proxy_mode mode, std::chrono::milliseconds delay)
{
    m_implementation->setMode(mode, delay);
}

} // namespace banyan::soak
