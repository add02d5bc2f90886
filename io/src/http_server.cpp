#include "banyan/io/http_server.h"

#include "banyan/core/client_ledger.h"
#include "banyan/io/client_memory.h"
#include "banyan/io/clock.h"
#include "banyan/io/error_answers.h"
#include "banyan/io/log.h"
#include "http_exchange_implementation.h"
#include "http_route_table.h"
#include "server_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace banyan {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t discardedPieceBytes = std::size_t(4) << 10;
constexpr duration lingerTime = std::chrono::seconds(2); // For a peer to read the last answer and close.
constexpr std::size_t lingerBytes = std::size_t(64) << 20; // Of a refused body that is read and dropped.
constexpr std::size_t firstReadBytes = 4096;
constexpr std::size_t readAheadBytes = 65536; // Beside a head. Bounds what is kept of a body whose framing goes on without end.
constexpr duration headWriteTimeout = std::chrono::seconds(30); // For a slow reader to take the refusal of its head.
constexpr duration acceptPause = std::chrono::milliseconds(50); // After a failed accept, for example with no free descriptor.

} // namespace

class http_server::implementation : public std::enable_shared_from_this<http_server::implementation>
{
public:
    implementation(asio::io_context &context, const http_server_options &options)
        : m_options(options)
        , m_acceptor(context)
        , m_pause(context)
    {
    }

    void addRoute(const std::string &method, const std::string &pattern, http_handler handler)
    {
        m_routes.add(method, pattern, std::move(handler));
    }

    void setFallback(http_handler handler)
    {
        m_fallback = std::move(handler);
    }

    void setLimits(const http_server_options &options)
    {
        m_options.idleTimeout = options.idleTimeout;
        m_options.headTimeout = options.headTimeout;
        m_options.bodyTimeout = options.bodyTimeout;
        m_options.maximumHead = options.maximumHead;
    }

    void closeAfterAnswers()
    {
        m_closing = true;
    }

    [[nodiscard]] std::uint64_t turnedAway() const
    {
        return m_turnedAway;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return m_connections.size();
    }

    void start()
    {
        const tcp::endpoint address(asio::ip::make_address(m_options.listen.address), m_options.listen.port);
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
        if (m_options.memory != nullptr) {
            m_options.memory->addYielder([weak = weak_from_this()](time_point now) {
                const auto self = weak.lock();
                return self && self->yieldMemory(now);
            });
        }
        asio::co_spawn(m_acceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
    }

    [[nodiscard]] endpoint address() const
    {
        const tcp::endpoint local = m_acceptor.local_endpoint();
        return {.address = local.address().to_string(), .port = local.port()};
    }

    void stopAccepting()
    {
        m_stopping = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const connection_pointer &connection : m_connections) {
            if (connection->idle && connection->buffer.size() == 0) {
                connection->stream.close();
            }
        }
    }

    void refuseUnreadBodies()
    {
        for (const connection_pointer &connection : m_connections) {
            connection->refusal = body_refusal::Shutdown;
            if (connection->readsBody) {
                connection->stream.cancel();
            }
        }
    }

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_inProgress;
    }

private:
    static task<> acceptLoop(std::shared_ptr<implementation> self)
    {
        while (!self->m_stopping) {
            boost::system::error_code error;
            tcp::endpoint peer;
            tcp::socket socket = co_await self->m_acceptor.async_accept(peer, asio::redirect_error(asio::use_awaitable, error));
            if (self->m_stopping) {
                co_return;
            }
            if (error) {
                logEvent(log_level::Warning, "accept_failed", {{"error", error.message()}});
                self->m_pause.expires_after(acceptPause);
                co_await self->m_pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            self->take(std::move(socket), peer.address().to_string());
        }
    }

    void take(tcp::socket socket, std::string address)
    {
        const time_point now = currentTime();
        byte_share held = m_options.memory != nullptr ? m_options.memory->share(memory_holder::Connections) : byte_share();
        const bool hasMemory = held.resize(server_connection::ownBytes);
        if ((m_ledger.size() >= m_options.maximumConnections || !hasMemory) && !yieldConnection(now)) {
            ++m_turnedAway;
            logEvent(log_level::Info,
                     "connection_refused",
                     {{"reason", hasMemory ? "too_many_connections" : "no_memory"},
                      {"address", address},
                      {"connections", std::to_string(m_ledger.size())}});
            return;
        }
        held.charge(server_connection::ownBytes);
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<server_connection>(std::move(socket), m_ledger.add(std::move(address), now), m_options.memory);
        connection->held = std::move(held);
        m_connections.insert(connection);
        asio::co_spawn(m_acceptor.get_executor(), serve(shared_from_this(), connection), asio::detached);
    }

    /// Ends one connection in favour of a new one. Returns whether there was one to end.
    bool yieldConnection(time_point now)
    {
        held_client *const client = m_ledger.chooseForConnection(now);
        return client != nullptr && yield(*client, "connections");
    }

    /// Ends what one client is busy with so that memory becomes free. Returns whether there was one to end.
    bool yieldMemory(time_point now)
    {
        held_client *const client = m_ledger.chooseForMemory(now);
        return client != nullptr && yield(*client, "memory");
    }

    bool yield(const held_client &client, const char *reason)
    {
        const auto found = std::find_if(m_connections.begin(), m_connections.end(), [&](const connection_pointer &connection) {
            return &connection->client == &client;
        });
        ++m_turnedAway;
        logEvent(log_level::Info,
                 "client_turned_away",
                 {{"reason", reason},
                  {"address", client.address},
                  {"phase", std::string(toString(client.phase))},
                  {"bytes", std::to_string(client.bytes)},
                  {"connections", std::to_string(m_ledger.size())}});
        (*found)->yield();
        return true;
    }

    static task<> serve(std::shared_ptr<implementation> self, connection_pointer connection)
    {
        try {
            bool more = true;
            while (more) {
                more = co_await self->serveOne(connection);
            }
        } catch (const std::exception &error) {
            logEvent(log_level::Debug, "connection_ended", {{"error", error.what()}});
        }
        reportDisconnect(*connection);
        connection->await(client_phase::Closing);
        if (connection->resetsAtEnd) {
            connection->stream.close();
        } else {
            co_await closeGracefully(connection);
        }
        self->m_connections.erase(connection);
        self->m_ledger.remove(connection->client);
    }

    /// Closes a connection without losing the last answer: a socket closed with unread bytes resets the connection, and the
    /// peer may never read what was sent. Reads on until the peer closes, within a bound of time and bytes.
    static task<> closeGracefully(connection_pointer connection)
    {
        boost::system::error_code error;
        connection->stream.socket().shutdown(tcp::socket::shutdown_send, error);
        std::string discarded(discardedPieceBytes, '\0');
        std::size_t total = 0;
        connection->stream.expires_after(lingerTime);
        while (!error && total < lingerBytes) {
            total += co_await connection->stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
        }
        connection->stream.close();
    }

    /// Reads and answers one request; returns whether another may follow.
    task<bool> serveOne(connection_pointer connection)
    {
        connection->idle = true;
        connection->await(client_phase::Idle);
        (void)connection->held.resize(server_connection::ownBytes);
        if (m_stopping && connection->buffer.size() == 0) {
            co_return false;
        }
        http::request_parser<http::buffer_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_options.maximumHead));
        parser.body_limit(boost::none);
        connection->buffer.max_size(m_options.maximumHead + readAheadBytes);
        boost::system::error_code error;
        if (connection->buffer.size() == 0) {
            connection->stream.expires_after(m_options.idleTimeout);
            const std::size_t length = co_await connection->stream.async_read_some(connection->buffer.prepare(firstReadBytes),
                                                                                   asio::redirect_error(asio::use_awaitable, error));
            connection->buffer.commit(length);
            // A stop may have closed the connection after these bytes were read: they must not be taken as a request any more.
            if (error || !connection->stream.socket().is_open()) {
                co_return false;
            }
        }
        connection->idle = false;
        connection->await(client_phase::Head);
        connection->stream.expires_after(m_options.headTimeout);
        co_await http::async_read_header(connection->stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_await refuseHead(connection, error);
            co_return false;
        }
        // A connection that gave way to another one after its head was read must not be served: its answer could not be sent.
        if (!connection->stream.socket().is_open()) {
            co_return false;
        }
        connection->client.run();
        connection->client.wasServed = true;
        ++m_inProgress;
        const progress_guard guard(m_inProgress);
        http_exchange::implementation underlying(
            connection, parser, {.bodyTimeout = m_options.bodyTimeout, .requestIdField = m_options.requestIdField});
        if (m_stopping || m_closing) {
            underlying.closeAfterwards();
        }
        co_await handle(underlying);
        connection->disconnectHandler = nullptr;
        co_return underlying.complete() && underlying.keepsAlive() && !m_stopping;
    }

    struct progress_guard
    {
        explicit progress_guard(std::size_t &counter)
            : m_counter(counter)
        {
        }
        ~progress_guard()
        {
            --m_counter;
        }
        progress_guard(const progress_guard &) = delete;
        progress_guard &operator=(const progress_guard &) = delete;

    private:
        std::size_t &m_counter;
    };

    task<> refuseHead(connection_pointer connection, boost::system::error_code error)
    {
        if (error == http::error::end_of_stream || error == beast::error::timeout || error == asio::error::operation_aborted
            || error == asio::error::connection_reset) {
            co_return;
        }
        const bool tooLarge = error == http::error::header_limit || error == http::error::buffer_overflow;
        const http_response answer = tooLarge
                                         ? errorAnswer(431, "header_too_large", "The request's head is too large.", run_claim::NotRun)
                                         : errorAnswer(400, "invalid_request", "The request is not valid HTTP/1.1.", run_claim::NotRun);
        http::response<http::string_body> message(static_cast<http::status>(answer.status), 11, answer.body);
        message.set(http::field::content_type, "application/json");
        message.set("X-Banyan-Run", "not-run");
        message.keep_alive(false);
        message.prepare_payload();
        connection->stream.expires_after(headWriteTimeout);
        co_await http::async_write(connection->stream, message, asio::redirect_error(asio::use_awaitable, error));
    }

    task<> handle(http_exchange::implementation &underlying)
    {
        http_exchange exchange(underlying);
        const route_match match = m_routes.find(underlying.method(), underlying.target().path);
        const http_handler *const handler = match.handler == nullptr && m_fallback ? &m_fallback : match.handler;
        if (handler == nullptr) {
            underlying.closeAfterwards();
            const unsigned status = match.pathKnown ? 405 : 404;
            http_response answer = errorAnswer(
                status, "unknown_url", "No such call: " + underlying.method() + " " + underlying.target().path, run_claim::NotRun);
            co_await exchange.respond(std::move(answer));
            co_return;
        }
        underlying.pathArguments = match.arguments;
        std::string failure;
        bool isOfBody = false;
        try {
            co_await (*handler)(exchange);
        } catch (const http_body_error &error) {
            failure = error.what();
            isOfBody = true;
        } catch (const std::exception &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            co_return;
        }
        logEvent(isOfBody ? log_level::Info : log_level::Warning, // Clients can cause any number of the former.
                 isOfBody ? "body_refused" : "handler_failed",
                 {{"request_id", underlying.requestId()}, {"path", underlying.target().path}, {"error", failure}});
        if (!underlying.answered()) {
            underlying.closeAfterwards();
            co_await exchange.respond(errorAnswer(500, "internal_error", "The request failed inside the server.", run_claim::Unknown));
        }
    }

    http_server_options m_options;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_pause;
    http_route_table m_routes;
    http_handler m_fallback;
    std::set<connection_pointer> m_connections;
    client_ledger m_ledger;
    std::uint64_t m_turnedAway = 0;
    std::size_t m_inProgress = 0;
    bool m_stopping = false;
    bool m_closing = false; ///< No connection stays open after its next answer.
};

http_server::http_server(asio::io_context &context, const http_server_options &options)
    : m_implementation(std::make_shared<implementation>(context, options))
{
}

http_server::~http_server()
{
    m_implementation->stopAccepting();
}

void http_server::route(const std::string &method, const std::string &pattern, http_handler handler)
{
    m_implementation->addRoute(method, pattern, std::move(handler));
}

void http_server::routeOthers(http_handler handler)
{
    m_implementation->setFallback(std::move(handler));
}

void http_server::setLimits(const http_server_options &options)
{
    m_implementation->setLimits(options);
}

void http_server::closeAfterAnswers()
{
    m_implementation->closeAfterAnswers();
}

std::uint64_t http_server::turnedAway() const
{
    return m_implementation->turnedAway();
}

std::size_t http_server::connections() const
{
    return m_implementation->connections();
}

void http_server::start()
{
    m_implementation->start();
}

endpoint http_server::address() const
{
    return m_implementation->address();
}

void http_server::stopAccepting()
{
    m_implementation->stopAccepting();
}

void http_server::refuseUnreadBodies()
{
    m_implementation->refuseUnreadBodies();
}

std::size_t http_server::inProgress() const
{
    return m_implementation->inProgress();
}

} // namespace banyan