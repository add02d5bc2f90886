#include "banyan/io/serving/load_exchange.h"

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

class load_exchange::implementation : public std::enable_shared_from_this<load_exchange::implementation>
{
public:
    implementation(asio::io_context &context, const load_exchange_options &options, report_source source, report_handler handler)
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

    void setPeers(std::vector<endpoint> peers)
    {
        m_peers.clear();
        for (const endpoint &peer : peers) {
            m_peers.emplace_back(asio::ip::make_address(peer.address), peer.port);
        }
        changed();
    }

    void changed()
    {
        if (m_changed) {
            return;
        }
        m_changed = true;
        const auto earliest = m_sentAt + interval();
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
    [[nodiscard]] duration interval() const
    {
        return std::max(m_options.shortestInterval, m_options.intervalPerPeer * static_cast<duration::rep>(m_peers.size()));
    }

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
        const std::string bytes = encode(m_source());
        for (const udp::endpoint &peer : m_peers) {
            boost::system::error_code ignored; // The next report makes up for one that is lost.
            m_socket.send_to(asio::buffer(bytes), peer, 0, ignored);
        }
        m_changed = false;
        m_sentAt = std::chrono::steady_clock::now();
        schedule(std::max(m_options.heartbeat, interval()));
    }

    void receive()
    {
        m_socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            if (self->m_stopped) {
                return;
            }
            if (error) {
                logEvent(log_level::Warning, "load_receive_failed", {{"error", error.message()}});
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
            const std::optional<node_load> load = decodeNodeLoad({m_buffer.data(), length});
            if (load) {
                m_handler(*load);
            } else {
                logEvent(log_level::Debug, "load_malformed", {{"sender", sender.address().to_string()}});
            }
        }
    }

    load_exchange_options m_options;
    report_source m_source;
    report_handler m_handler;
    udp::socket m_socket;
    asio::steady_timer m_timer;
    std::vector<udp::endpoint> m_peers;
    std::array<char, maximumDatagram> m_buffer{};
    std::chrono::steady_clock::time_point m_sentAt;
    bool m_changed = false;
    bool m_stopped = false;
};

load_exchange::load_exchange(asio::io_context &context, const load_exchange_options &options, report_source source, report_handler handler)
    : m_implementation(std::make_shared<implementation>(context, options, std::move(source), std::move(handler)))
{
}

load_exchange::~load_exchange()
{
    m_implementation->stop();
}

void load_exchange::start()
{
    m_implementation->start();
}

void load_exchange::setPeers(std::vector<endpoint> peers)
{
    m_implementation->setPeers(std::move(peers));
}

void load_exchange::changed()
{
    m_implementation->changed();
}

void load_exchange::stop()
{
    m_implementation->stop();
}

} // namespace banyan
