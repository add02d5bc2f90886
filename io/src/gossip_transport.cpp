#include "banyan/io/gossip_transport.h"

#include "banyan/io/gossip_codec.h"
#include "banyan/io/gossip_error.h"
#include "banyan/io/gossip_seal.h"
#include "banyan/io/log.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <stdexcept>
#include <utility>

namespace banyan {

using asio::ip::udp;

class gossip_transport::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context, endpoint listenAt, std::string secret)
        : listen(std::move(listenAt))
        , m_socket(context)
        , m_seal(std::move(secret))
    {
    }

    void open()
    {
        const udp::endpoint local(asio::ip::make_address(listen.address), listen.port);
        boost::system::error_code error;
        m_socket.open(local.protocol(), error);
        if (!error) {
            m_socket.bind(local, error);
        }
        if (error) {
            throw std::runtime_error("cannot receive gossip at " + listen.toString() + ": " + error.message());
        }
        m_socket.non_blocking(true);
        listen.port = m_socket.local_endpoint().port();
        receive();
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    void send(const endpoint &to, const gossip_message &message)
    {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(to.address, error);
        const std::string datagram = m_seal.seal(encodeGossip(message));
        if (error || datagram.size() > maximumDatagram) {
            logEvent(log_level::Error, "gossip_not_sendable", {{"to", to.toString()}, {"bytes", std::to_string(datagram.size())}});
            return;
        }
        m_socket.send_to(asio::buffer(datagram), udp::endpoint(address, to.port), 0, error);
        ++counters.messagesSent;
        counters.bytesSent += datagram.size();
    }

    std::function<void(const gossip_message &)> handler;
    endpoint listen;
    fleet_counters counters;

private:
    void receive()
    {
        m_socket.async_receive_from(
            asio::buffer(m_buffer), m_from, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                if (!self->m_socket.is_open()) {
                    return;
                }
                // Errors tell of earlier datagrams that could not be delivered; the socket stays usable.
                if (!error) {
                    self->take({self->m_buffer.data(), size});
                }
                if (self->m_socket.is_open()) {
                    self->receive();
                }
            });
    }

    void take(std::string_view datagram)
    {
        const auto payload = m_seal.open(datagram);
        if (!payload) {
            ++counters.droppedUnauthenticated;
            return;
        }
        try {
            const gossip_message message = decodeGossip(*payload);
            ++counters.messagesReceived;
            counters.bytesReceived += datagram.size();
            if (handler) {
                handler(message);
            }
        } catch (const gossip_error &) {
            ++counters.droppedMalformed;
        }
    }

    udp::socket m_socket;
    gossip_seal m_seal;
    udp::endpoint m_from;
    std::array<char, maximumDatagram + 1> m_buffer{};
};

gossip_transport::gossip_transport(asio::io_context &context, const endpoint &listen, std::string secret)
    : m_implementation(std::make_shared<implementation>(context, listen, std::move(secret)))
{
}

gossip_transport::~gossip_transport()
{
    m_implementation->handler = nullptr;
    close();
}

void gossip_transport::onMessage(std::function<void(const gossip_message &)> handler)
{
    m_implementation->handler = std::move(handler);
}

void gossip_transport::open()
{
    m_implementation->open();
}

void gossip_transport::close()
{
    m_implementation->close();
}

endpoint gossip_transport::address() const
{
    return m_implementation->listen;
}

void gossip_transport::send(const endpoint &to, const gossip_message &message)
{
    m_implementation->send(to, message);
}

const fleet_counters &gossip_transport::counters() const
{
    return m_implementation->counters;
}

} // namespace banyan
