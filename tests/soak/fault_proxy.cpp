#include "fault_proxy.h"

#include "banyan/io/asio_types.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <boost/algorithm/string/case_conv.hpp>

#include <array>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace banyan::soak {

using asio::ip::tcp;

namespace {

constexpr std::size_t pieceBytes = 16384;
constexpr int fillers = 4; // Own connections that fill the shortest queue of an acceptor.

/// Whether the bytes are an answer up to its end, as its head frames it.
bool isWholeAnswer(const std::string &bytes)
{
    const std::string lengthField = "\r\ncontent-length: ";
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    const std::string head = boost::algorithm::to_lower_copy(bytes.substr(0, end));
    const std::size_t length = head.find(lengthField);
    if (length != std::string::npos) {
        return bytes.size() == end + 4 + std::stoull(head.substr(length + lengthField.size()));
    }
    return head.find("\r\ntransfer-encoding: chunked") != std::string::npos && bytes.ends_with("\r\n0\r\n\r\n");
}

bool listens(proxy_mode mode)
{
    return mode != proxy_mode::Refuse && mode != proxy_mode::Hang;
}

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
    std::string answer; ///< Its bytes so far.
    bool dropsRequests = false;
    bool dropsAnswers = false;
};

using tunnel_pointer = std::shared_ptr<tunnel>;

} // namespace

class fault_proxy::implementation
{
public:
    implementation(const endpoint &target, const endpoint &listen)
        : m_target(asio::ip::make_address(target.address), target.port)
        , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address(listen.address), listen.port))
        , m_address(m_acceptor.local_endpoint())
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
        return {.address = m_address.address().to_string(), .port = m_address.port()};
    }

    void setMode(proxy_mode mode, std::chrono::milliseconds delay)
    {
        asio::post(m_context, [this, mode, delay] {
            const proxy_mode before = std::exchange(m_mode, mode);
            m_delay = delay;
            if (before != mode && (!listens(before) || !listens(mode))) {
                changeListening();
            }
            for (const tunnel_pointer &open : std::set<tunnel_pointer>(m_tunnels)) {
                apply(*open);
            }
        });
    }

private:
    void apply(tunnel &open) const
    {
        open.dropsAnswers = open.dropsAnswers || m_mode == proxy_mode::SilentAnswers || isSilent();
        open.dropsRequests = open.dropsRequests || isSilent();
        if (m_mode == proxy_mode::Reset) {
            open.close(true);
        }
    }

    [[nodiscard]] bool isSilent() const
    {
        return m_mode == proxy_mode::Silent || m_mode == proxy_mode::Hang;
    }

    void changeListening()
    {
        boost::system::error_code ignored;
        m_fillers.clear();
        if (m_mode == proxy_mode::Refuse) {
            m_acceptor.close(ignored);
            return;
        }
        if (!m_acceptor.is_open()) {
            m_acceptor.open(m_address.protocol());
            m_acceptor.set_option(tcp::acceptor::reuse_address(true));
            m_acceptor.bind(m_address);
        }
        m_acceptor.cancel(ignored);
        if (m_mode == proxy_mode::Hang) {
            m_acceptor.listen(0); // Once its queue is full, the system answers no attempt to connect.
            for (int number = 0; number < fillers; ++number) {
                m_fillers.push_back(std::make_unique<tcp::socket>(m_context));
                m_fillers.back()->async_connect(m_address, [](boost::system::error_code) {});
            }
            return;
        }
        m_acceptor.listen();
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    task<> accept()
    {
        while (listens(m_mode)) {
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
            if (m_mode == proxy_mode::Delay) {
                co_await pause();
            }
            if (!error && !(answers ? open->dropsAnswers : open->dropsRequests)) {
                co_await asio::async_write(to, asio::buffer(piece.data(), length), asio::redirect_error(asio::use_awaitable, error));
                if (answers && !error) {
                    co_await repeat(open, std::string_view(piece.data(), length));
                }
            }
        }
        open->close(false);
        m_tunnels.erase(open);
    }

    task<> pause()
    {
        asio::steady_timer timer(m_context, m_delay);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// Notes a piece of an answer. After its last one, writes the answer again in mode Repeat.
    task<> repeat(tunnel_pointer open, std::string_view piece)
    {
        open->answer += piece;
        if (!isWholeAnswer(open->answer)) {
            co_return;
        }
        const std::string copy = std::exchange(open->answer, {});
        if (m_mode == proxy_mode::Repeat) {
            co_await pause(); // Meanwhile the connection may carry the next request.
            boost::system::error_code ignored;
            co_await asio::async_write(open->client, asio::buffer(copy), asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()}; ///< Also while nothing is open.
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_address;
    std::vector<std::unique_ptr<tcp::socket>> m_fillers;
    std::set<tunnel_pointer> m_tunnels;
    proxy_mode m_mode = proxy_mode::Pass;
    std::chrono::milliseconds m_delay{0};
    std::thread m_thread;
};

fault_proxy::fault_proxy(const endpoint &target, const endpoint &listen)
    : m_implementation(std::make_unique<implementation>(target, listen))
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
