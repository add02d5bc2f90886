#include "banyan/io/http_server.h"

#include "banyan/io/error_answers.h"
#include "banyan/io/http_body_error.h"
#include "banyan/io/log.h"
#include "http_route_table.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <random>
#include <set>
#include <stdexcept>

namespace banyan {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t pieceBytes = std::size_t(64) << 10;
constexpr duration lingerTime = std::chrono::seconds(2); // For a peer to read the last answer and close.
constexpr std::size_t lingerBytes = std::size_t(64) << 20; // Of a refused body that is read and dropped.
constexpr std::size_t firstReadBytes = 4096;
constexpr duration writeTimeout = std::chrono::seconds(30); // For a slow reader to take one piece.
constexpr duration acceptPause = std::chrono::milliseconds(50); // After a failed accept, for example with no free descriptor.

std::string newRequestId()
{
    static std::mt19937_64 generator(std::random_device{}());
    static constexpr char digits[] = "0123456789abcdef";
    std::string text = "r-";
    for (int part = 0; part < 2; ++part) {
        std::uint64_t bits = generator();
        for (int digit = 0; digit < 8; ++digit) {
            text += digits[bits & 0xfU];
            bits >>= 4U;
        }
    }
    return text;
}

/// One accepted connection.
struct server_connection
{
    explicit server_connection(tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool idle = true; ///< Between two requests.
    bool watching = false; ///< A wait for readability is outstanding.
    std::function<void()> disconnectHandler;
};

using connection_pointer = std::shared_ptr<server_connection>;

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

void reportDisconnect(server_connection &connection)
{
    if (connection.disconnectHandler) {
        std::exchange(connection.disconnectHandler, nullptr)();
    }
}

/// Waits for the peer to close its side while a request is in progress.
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

} // namespace

class http_exchange::implementation
{
public:
    implementation(connection_pointer connection, http::request_parser<http::buffer_body> &parser, duration bodyTimeout)
        : m_connection(std::move(connection))
        , m_parser(parser)
        , m_bodyTimeout(bodyTimeout)
        , m_method(parser.get().method_string())
        , m_wholeTarget(parser.get().target())
        , m_target(split_target::parse(m_wholeTarget))
    {
        const std::string given(parser.get()["X-Request-Id"]);
        m_requestId = isAcceptableRequestId(given) ? given : newRequestId();
    }

    static bool isAcceptableRequestId(const std::string &text)
    {
        constexpr std::size_t longest = 128;
        return !text.empty() && text.size() <= longest
               && text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") == std::string::npos;
    }

    task<std::string> nextPiece()
    {
        co_await sendContinue();
        std::string piece(pieceBytes, '\0');
        while (!m_parser.is_done()) {
            m_parser.get().body().data = piece.data();
            m_parser.get().body().size = piece.size();
            m_connection->stream.expires_after(m_bodyTimeout);
            boost::system::error_code error;
            co_await http::async_read_some(
                m_connection->stream, m_connection->buffer, m_parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer) {
                co_await refuseBody(error);
            }
            const std::size_t length = piece.size() - m_parser.get().body().size;
            if (length != 0) {
                piece.resize(length);
                co_return piece;
            }
        }
        co_return std::string();
    }

    task<std::string> wholeBody(std::size_t limit)
    {
        const auto announced = m_parser.content_length();
        if (announced && *announced > limit) {
            co_await refuseLargeBody(limit);
        }
        std::string result;
        for (;;) {
            const std::string piece = co_await nextPiece();
            if (piece.empty()) {
                co_return result;
            }
            if (result.size() + piece.size() > limit) {
                co_await refuseLargeBody(limit);
            }
            result += piece;
        }
    }

    task<> sendWhole(http_response response)
    {
        http::response<http::string_body> message;
        message.result(response.status);
        message.version(11);
        addFields(message, response.fields);
        message.body() = std::move(response.body);
        message.keep_alive(keepsAlive());
        message.prepare_payload();
        m_answered = true;
        m_connection->stream.expires_after(writeTimeout);
        co_await http::async_write(m_connection->stream, message, asio::use_awaitable);
        m_complete = true;
    }

    task<> sendHead(unsigned status, std::vector<http_field> fields)
    {
        http::response<http::empty_body> message;
        message.result(status);
        message.version(11);
        addFields(message, fields);
        message.chunked(true);
        message.keep_alive(keepsAlive());
        http::response_serializer<http::empty_body> serializer(message);
        m_answered = true;
        m_connection->stream.expires_after(writeTimeout);
        co_await http::async_write_header(m_connection->stream, serializer, asio::use_awaitable);
    }

    task<> sendPiece(std::string_view piece)
    {
        if (piece.empty()) {
            co_return;
        }
        m_connection->stream.expires_after(writeTimeout);
        co_await asio::async_write(m_connection->stream, http::make_chunk(asio::buffer(piece.data(), piece.size())), asio::use_awaitable);
    }

    task<> sendEnd()
    {
        m_connection->stream.expires_after(writeTimeout);
        co_await asio::async_write(m_connection->stream, http::make_chunk_last(), asio::use_awaitable);
        m_complete = true;
    }

    /// Whether another request may follow on this connection.
    [[nodiscard]] bool keepsAlive() const
    {
        return m_parser.is_done() && m_parser.get().keep_alive() && !m_closing;
    }

    void closeAfterwards()
    {
        m_closing = true;
    }

    [[nodiscard]] bool answered() const
    {
        return m_answered;
    }

    [[nodiscard]] bool complete() const
    {
        return m_complete;
    }

    [[nodiscard]] const split_target &target() const
    {
        return m_target;
    }

    [[nodiscard]] const std::string &wholeTarget() const
    {
        return m_wholeTarget;
    }

    [[nodiscard]] const std::string &method() const
    {
        return m_method;
    }

    [[nodiscard]] const std::string &requestId() const
    {
        return m_requestId;
    }

    [[nodiscard]] std::string field(std::string_view name) const
    {
        return std::string(m_parser.get()[beast::string_view(name.data(), name.size())]);
    }

    [[nodiscard]] const connection_pointer &connection() const
    {
        return m_connection;
    }

    std::vector<std::string> pathArguments;

private:
    template<typename Message>
    void addFields(Message &message, const std::vector<http_field> &fields) const
    {
        for (const http_field &field : fields) {
            message.insert(field.name, field.value);
        }
        message.set("X-Request-Id", m_requestId);
    }

    task<> sendContinue()
    {
        if (m_continueHandled) {
            co_return;
        }
        m_continueHandled = true;
        if (!beast::iequals(m_parser.get()[http::field::expect], "100-continue")) {
            co_return;
        }
        http::response<http::empty_body> message(http::status::continue_, 11);
        m_connection->stream.expires_after(writeTimeout);
        co_await http::async_write(m_connection->stream, message, asio::use_awaitable);
    }

    task<> refuseBody(boost::system::error_code error)
    {
        closeAfterwards();
        if (error == beast::error::timeout) {
            // The timeout has closed the socket: nothing can be answered any more.
            throw http_body_error("expected the rest of the body, found silence until the timeout");
        }
        if (!m_answered && error != http::error::end_of_stream && error != http::error::partial_message) {
            co_await sendWhole(errorAnswer(400, "invalid_body", "The body is malformed: " + error.message(), run_claim::NotRun));
        }
        throw http_body_error("expected the whole body, found: " + error.message());
    }

    task<> refuseLargeBody(std::size_t limit)
    {
        closeAfterwards();
        const std::string text = "The body is larger than " + std::to_string(limit) + " bytes.";
        co_await sendWhole(errorAnswer(413, "body_too_large", text, run_claim::NotRun));
        throw http_body_error(text);
    }

    connection_pointer m_connection;
    http::request_parser<http::buffer_body> &m_parser;
    duration m_bodyTimeout;
    std::string m_method;
    std::string m_wholeTarget;
    split_target m_target;
    std::string m_requestId;
    bool m_continueHandled = false;
    bool m_answered = false;
    bool m_complete = false;
    bool m_closing = false;
};

const std::string &http_exchange::method() const
{
    return m_implementation.method();
}

const std::string &http_exchange::path() const
{
    return m_implementation.target().path;
}

const std::string &http_exchange::target() const
{
    return m_implementation.wholeTarget();
}

const std::vector<std::string> &http_exchange::pathArguments() const
{
    return m_implementation.pathArguments;
}

std::optional<std::string> http_exchange::query(std::string_view name) const
{
    return m_implementation.target().query(name);
}

std::string http_exchange::field(std::string_view name) const
{
    return m_implementation.field(name);
}

const std::string &http_exchange::requestId() const
{
    return m_implementation.requestId();
}

task<std::string> http_exchange::body(std::size_t limit)
{
    return m_implementation.wholeBody(limit);
}

task<std::string> http_exchange::bodyPiece()
{
    return m_implementation.nextPiece();
}

task<> http_exchange::respond(http_response response)
{
    return m_implementation.sendWhole(std::move(response));
}

task<> http_exchange::begin(unsigned status, std::vector<http_field> fields)
{
    return m_implementation.sendHead(status, std::move(fields));
}

task<> http_exchange::write(std::string_view piece)
{
    return m_implementation.sendPiece(piece);
}

task<> http_exchange::finish()
{
    return m_implementation.sendEnd();
}

void http_exchange::onDisconnect(std::function<void()> handler)
{
    m_implementation.connection()->disconnectHandler = std::move(handler);
    watchPeer(m_implementation.connection());
}

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

    void start()
    {
        const tcp::endpoint address(asio::ip::make_address(m_options.listen.address), m_options.listen.port);
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
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

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_inProgress;
    }

private:
    static task<> acceptLoop(std::shared_ptr<implementation> self)
    {
        while (!self->m_stopping) {
            boost::system::error_code error;
            tcp::socket socket = co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (self->m_stopping) {
                co_return;
            }
            if (error) {
                logEvent(log_level::Warning, "accept_failed", {{"error", error.message()}});
                self->m_pause.expires_after(acceptPause);
                co_await self->m_pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            self->take(std::move(socket));
        }
    }

    void take(tcp::socket socket)
    {
        if (m_connections.size() >= m_options.maximumConnections) {
            logEvent(log_level::Warning, "connection_refused", {{"reason", "too_many_connections"}});
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<server_connection>(std::move(socket));
        m_connections.insert(connection);
        asio::co_spawn(m_acceptor.get_executor(), serve(shared_from_this(), connection), asio::detached);
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
        co_await closeGracefully(connection);
        self->m_connections.erase(connection);
    }

    /// Closes a connection without losing the last answer: a socket closed with unread bytes resets the connection, and the
    /// peer may never read what was sent. Reads on until the peer closes, within a bound of time and bytes.
    static task<> closeGracefully(connection_pointer connection)
    {
        boost::system::error_code error;
        connection->stream.socket().shutdown(tcp::socket::shutdown_send, error);
        std::string discarded(pieceBytes, '\0');
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
        if (m_stopping && connection->buffer.size() == 0) {
            co_return false;
        }
        http::request_parser<http::buffer_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_options.maximumHead));
        parser.body_limit(boost::none);
        boost::system::error_code error;
        if (connection->buffer.size() == 0) {
            connection->stream.expires_after(m_options.idleTimeout);
            const std::size_t length = co_await connection->stream.async_read_some(connection->buffer.prepare(firstReadBytes),
                                                                                   asio::redirect_error(asio::use_awaitable, error));
            connection->buffer.commit(length);
            if (error) {
                co_return false;
            }
        }
        connection->idle = false;
        connection->stream.expires_after(m_options.headTimeout);
        co_await http::async_read_header(connection->stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_await refuseHead(connection, error);
            co_return false;
        }
        ++m_inProgress;
        const progress_guard guard(m_inProgress);
        http_exchange::implementation underlying(connection, parser, m_options.bodyTimeout);
        if (m_stopping) {
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
        connection->stream.expires_after(writeTimeout);
        co_await http::async_write(connection->stream, message, asio::redirect_error(asio::use_awaitable, error));
    }

    task<> handle(http_exchange::implementation &underlying)
    {
        http_exchange exchange(underlying);
        const route_match match = m_routes.find(underlying.method(), underlying.target().path);
        if (match.handler == nullptr) {
            underlying.closeAfterwards();
            const unsigned status = match.pathKnown ? 405 : 404;
            http_response answer = errorAnswer(
                status, "unknown_url", "No such call: " + underlying.method() + " " + underlying.target().path, run_claim::NotRun);
            co_await exchange.respond(std::move(answer));
            co_return;
        }
        underlying.pathArguments = match.arguments;
        std::string failure;
        try {
            co_await (*match.handler)(exchange);
        } catch (const std::exception &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            co_return;
        }
        logEvent(log_level::Warning,
                 "handler_failed",
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
    std::set<connection_pointer> m_connections;
    std::size_t m_inProgress = 0;
    bool m_stopping = false;
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

std::size_t http_server::inProgress() const
{
    return m_implementation->inProgress();
}

} // namespace banyan
