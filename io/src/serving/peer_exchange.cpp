#include "banyan/io/serving/peer_exchange.h"

#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/serving/serving_codec.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace banyan {

using asio::ip::udp;

namespace {

constexpr std::size_t maximumDatagram = 16384; // Bytes; reports of a few hundred upstreams are smaller.

} // namespace

class peer_exchange::implementation : public std::enable_shared_from_this<peer_exchange::implementation>
{
public:
    implementation(asio::io_context &context, const peer_exchange_options &options, report_source source, message_handler handler)
        : m_options(options)
        , m_source(std::move(source))
        , m_handler(std::move(handler))
        , m_socket(context)
        , m_timer(context)
    {
    }

    void start()
    {
        const udp::endpoint address(asio::ip::make_address(m_options.listen.address), m_options.listen.port);
        m_socket.open(address.protocol());
        m_socket.bind(address);
        m_socket.non_blocking(true);
        receive();
        schedule(duration(0));
    }

    [[nodiscard]] endpoint address() const
    {
        const udp::endpoint local = m_socket.local_endpoint();
        return {.address = local.address().to_string(), .port = local.port()};
    }

    void setPeers(const std::map<node_id, endpoint> &peers)
    {
        m_peers.clear();
        for (const auto &[node, peer] : peers) {
            m_peers.emplace(node, udp::endpoint(asio::ip::make_address(peer.address), peer.port));
        }
        changed();
    }

    void setReports(std::function<bool(const node_id &)> reportsTo, duration shortestInterval)
    {
        m_reportsTo = std::move(reportsTo);
        m_interval = shortestInterval;
    }

    bool sendTo(const node_id &to, const gateway_message &message)
    {
        const auto peer = m_peers.find(to);
        if (peer == m_peers.end()) {
            return false;
        }
        sendBytes(peer->second, encode(message, currentTime()));
        return true;
    }

    void changed()
    {
        if (m_changed) {
            return;
        }
        m_changed = true;
        const auto earliest = m_sentAt + m_interval;
        const auto now = std::chrono::steady_clock::now();
        schedule(earliest > now ? std::chrono::duration_cast<duration>(earliest - now) : duration(0));
    }

    void stop()
    {
        m_stopped = true;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
    }

private:
    void schedule(duration delay)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->m_stopped) {
                self->send();
            }
        });
    }

    void send()
    {
        const std::string bytes = encode(m_source(), currentTime());
        for (const auto &[node, peer] : m_peers) {
            if (!m_reportsTo || m_reportsTo(node)) {
                sendBytes(peer, bytes);
            }
        }
        m_changed = false;
        m_sentAt = std::chrono::steady_clock::now();
        schedule(std::max(m_options.heartbeat, m_interval));
    }

    void sendBytes(const udp::endpoint &peer, const std::string &bytes)
    {
        boost::system::error_code ignored; // Senders of messages do without an answer, and reports are repeated.
        m_socket.send_to(asio::buffer(bytes), peer, 0, ignored);
    }

    void receive()
    {
        m_socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            if (self->m_stopped) {
                return;
            }
            if (error) {
                logEvent(log_level::Warning, "peer_receive_failed", {{"error", error.message()}});
            }
            self->takeAll();
            self->receive();
        });
    }

    /// Takes in all datagrams that have come, at one wake-up.
    void takeAll()
    {
        for (;;) {
            boost::system::error_code error;
            udp::endpoint sender;
            const std::size_t length = m_socket.receive_from(asio::buffer(m_buffer), sender, 0, error);
            if (error) {
                return;
            }
            const std::optional<gateway_message> message = decodeGatewayMessage({m_buffer.data(), length}, currentTime());
            if (message) {
                learnSender(*message, sender);
                m_handler(*message);
            } else {
                logEvent(log_level::Debug, "peer_message_malformed", {{"sender", sender.address().to_string()}});
            }
        }
    }

    /// A node that has started again at its address is known by its first report, before its registration is read.
    void learnSender(const gateway_message &message, const udp::endpoint &sender)
    {
        const auto *const load = std::get_if<node_load>(&message);
        const auto known = load == nullptr ? m_peers.end() : m_peers.find(load->sender);
        if (load == nullptr || (known != m_peers.end() && known->second == sender)) {
            return;
        }
        std::erase_if(m_peers, [&](const auto &entry) {
            return entry.second == sender;
        });
        m_peers.insert_or_assign(load->sender, sender);
    }

    peer_exchange_options m_options;
    report_source m_source;
    message_handler m_handler;
    udp::socket m_socket;
    asio::steady_timer m_timer;
    std::map<node_id, udp::endpoint> m_peers;
    std::array<char, maximumDatagram> m_buffer{};
    std::function<bool(const node_id &)> m_reportsTo; ///< All, if it is empty.
    duration m_interval = std::chrono::milliseconds(20); ///< Between two reports at the least.
    std::chrono::steady_clock::time_point m_sentAt;
    bool m_changed = false;
    bool m_stopped = false;
};

peer_exchange::peer_exchange(asio::io_context &context, const peer_exchange_options &options, report_source source, message_handler handler)
    : m_implementation(std::make_shared<implementation>(context, options, std::move(source), std::move(handler)))
{
}

peer_exchange::~peer_exchange()
{
    m_implementation->stop();
}

void peer_exchange::start()
{
    m_implementation->start();
}

endpoint peer_exchange::address() const
{
    return m_implementation->address();
}

void peer_exchange::setPeers(const std::map<node_id, endpoint> &peers)
{
    m_implementation->setPeers(peers);
}

void peer_exchange::setReports(std::function<bool(const node_id &peer)> reportsTo, duration shortestInterval)
{
    m_implementation->setReports(std::move(reportsTo), shortestInterval);
}

bool peer_exchange::send(const node_id &to, const gateway_message &message)
{
    return m_implementation->sendTo(to, message);
}

void peer_exchange::changed()
{
    m_implementation->changed();
}

void peer_exchange::stop()
{
    m_implementation->stop();
}

} // namespace banyan
