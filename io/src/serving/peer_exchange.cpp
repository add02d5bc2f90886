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

constexpr std::size_t maximumDatagramBytes = 16384; // Reports of a few hundred upstreams are smaller.

} // namespace

class peer_exchange::implementation : public std::enable_shared_from_this<peer_exchange::implementation>
{
public:
    implementation(asio::io_context &context, const peer_exchange_options &options, report_source source, message_handler handler)
        : m_options(options)
        , m_reportSource(std::move(source))
        , m_messageHandler(std::move(handler))
        , m_socket(context)
        , m_timer(context)
    {
    }

    void start(const endpoint &listen)
    {
        const udp::endpoint address(asio::ip::make_address(listen.address), listen.port);
        m_socket.open(address.protocol());
        m_socket.bind(address);
        m_socket.non_blocking(true);
        receive();
        scheduleReport(duration(0));
    }

    void setPeers(const std::map<node_id, endpoint> &peers)
    {
        m_peers.clear();
        for (const auto &[node, peer] : peers) {
            m_peers.emplace(node, udp::endpoint(asio::ip::make_address(peer.address), peer.port));
        }
        requestReport();
    }

    void configureReports(std::function<bool(const node_id &)> reportsTo, duration shortestInterval)
    {
        m_reportsTo = std::move(reportsTo);
        m_shortestInterval = shortestInterval;
    }

    bool sendTo(const node_id &to, const gateway_message &message)
    {
        const auto peer = m_peers.find(to);
        if (peer == m_peers.end()) {
            return false;
        }
        sendDatagram(peer->second, encode(message, currentTime()));
        return true;
    }

    void sendToAll(const gateway_message &message)
    {
        const std::string bytes = encode(message, currentTime());
        for (const auto &[node, peer] : m_peers) {
            sendDatagram(peer, bytes);
        }
    }

    void requestReport()
    {
        if (m_reportRequested) {
            return;
        }
        m_reportRequested = true;
        const auto earliest = m_lastReportAt + m_shortestInterval;
        const auto now = std::chrono::steady_clock::now();
        scheduleReport(earliest > now ? std::chrono::duration_cast<duration>(earliest - now) : duration(0));
    }

    void stop()
    {
        m_stopped = true;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
    }

private:
    void scheduleReport(duration delay)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->m_stopped) {
                self->sendReport();
            }
        });
    }

    void sendReport()
    {
        const std::string bytes = encode(m_reportSource(), currentTime());
        for (const auto &[node, peer] : m_peers) {
            if (!m_reportsTo || m_reportsTo(node)) {
                sendDatagram(peer, bytes);
            }
        }
        m_reportRequested = false;
        m_lastReportAt = std::chrono::steady_clock::now();
        scheduleReport(std::max(m_options.heartbeat, m_shortestInterval));
    }

    void sendDatagram(const udp::endpoint &peer, const std::string &bytes)
    {
        boost::system::error_code
            ignored; // A lost datagram is tolerated: senders of messages handle a missing answer, and reports are repeated.
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
            self->receiveAll();
            self->receive();
        });
    }

    /// Receives and handles all pending datagrams in one wake-up.
    void receiveAll()
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
                updatePeerAddress(*message, sender);
                m_messageHandler(*message);
            } else {
                logEvent(log_level::Debug, "peer_message_malformed", {{"sender", sender.address().to_string()}});
            }
        }
    }

    /// Records the source address of a report. Thus a restarted node is reachable under its new id from its first report on,
    /// before its registration is read.
    void updatePeerAddress(const gateway_message &message, const udp::endpoint &sender)
    {
        const auto *const load = std::get_if<node_load>(&message);
        const auto existing = load == nullptr ? m_peers.end() : m_peers.find(load->sender);
        if (load == nullptr || (existing != m_peers.end() && existing->second == sender)) {
            return;
        }
        std::erase_if(m_peers, [&](const auto &entry) {
            return entry.second == sender;
        });
        m_peers.insert_or_assign(load->sender, sender);
    }

    peer_exchange_options m_options;
    report_source m_reportSource;
    message_handler m_messageHandler;
    udp::socket m_socket;
    asio::steady_timer m_timer;
    std::map<node_id, udp::endpoint> m_peers;
    std::array<char, maximumDatagramBytes> m_buffer{};
    std::function<bool(const node_id &)> m_reportsTo; ///< Whether a node receives reports; every node does if empty.
    duration m_shortestInterval = std::chrono::milliseconds(20); ///< Shortest interval between two reports.
    std::chrono::steady_clock::time_point m_lastReportAt;
    bool m_reportRequested = false;
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

void peer_exchange::start(const endpoint &listen)
{
    m_implementation->start(listen);
}

void peer_exchange::setPeers(const std::map<node_id, endpoint> &peers)
{
    m_implementation->setPeers(peers);
}

void peer_exchange::configureReports(std::function<bool(const node_id &peer)> reportsTo, duration shortestInterval)
{
    m_implementation->configureReports(std::move(reportsTo), shortestInterval);
}

bool peer_exchange::send(const node_id &to, const gateway_message &message)
{
    return m_implementation->sendTo(to, message);
}

void peer_exchange::sendToAll(const gateway_message &message)
{
    m_implementation->sendToAll(message);
}

void peer_exchange::requestReport()
{
    m_implementation->requestReport();
}

void peer_exchange::stop()
{
    m_implementation->stop();
}

} // namespace banyan
