#include "banyan/io/http_client.h"

#include "banyan/io/async_event.h"
#include "banyan/io/http_error.h"
#include "received_head.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace banyan {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t pieceBytes = std::size_t(16) << 10;
constexpr std::size_t readAheadBytes = std::size_t(64) << 10; // Bounds what is kept of an answer whose framing goes on without end.
constexpr unsigned firstErrorStatus = 400;
constexpr std::size_t bodyBesideAnswerBytes = std::size_t(32) << 10; // A longer body is sent while the answer is already read.
constexpr duration keepAliveMargin = std::chrono::seconds(1); // Before the peer's own timeout, so that no request crosses its close.
constexpr std::string_view keepAliveMark = "timeout=";
constexpr std::string_view headMethod = "HEAD"; // Its answers have no body, whatever their fields say.
constexpr std::size_t mostIdsOfConnection = 256; // 2 KiB; a connection that has carried so many is replaced.
constexpr int mostInterimAnswers = 16; // Before one answer; each is as short as any head, and all share the answer's time.
constexpr int mostRepeatedAnswers = 4; // Before one answer; a peer that sends more is not worth waiting for.
constexpr std::size_t mostRepeatedBytes = std::size_t(256) << 10; // Of one repeated answer, which may have no end.

/// One connection to an outside system and the bytes read ahead on it.
struct client_connection
{
    explicit client_connection(asio::io_context &context)
        : stream(context)
        , writeEnded(context)
    {
    }

    /// Whether a request with that id was sent on it. Ids with the same hash only cost a new connection.
    [[nodiscard]] bool hasCarried(const std::string &id) const
    {
        return std::find(ids.begin(), ids.end(), std::hash<std::string>()(id)) != ids.end();
    }

    /// Records a request that is about to be sent.
    void carry(const std::string &id, bool endsWithHead)
    {
        if (!id.empty()) {
            ids.push_back(std::hash<std::string>()(id));
        }
        hasHeadRequest = hasHeadRequest || endsWithHead;
    }

    [[nodiscard]] bool isWornOut() const
    {
        return ids.size() >= mostIdsOfConnection || hasRepeatedAnswer;
    }

    beast::tcp_stream stream;
    async_event writeEnded; ///< A request that was sent beside its answer has been sent, or cannot be.
    beast::flat_buffer buffer{readAheadBytes};
    bool reused = false; ///< It was idle before.
    std::uint64_t requests = 0; ///< Sent on it.
    std::optional<duration> idleLimit; ///< What the peer allows, less a margin.
    std::vector<std::size_t> ids; ///< Hashes of the ids of the requests that were sent on it.
    bool hasHeadRequest = false; ///< Where the body of a repeated answer ends cannot be told then.
    bool hasRepeatedAnswer = false; ///< The peer has sent an answer more than once.
};

using connection_pointer = std::shared_ptr<client_connection>;

struct idle_connection
{
    connection_pointer connection;
    std::chrono::steady_clock::time_point until; ///< Not to be used from then on.
};

tcp::endpoint toAsio(const endpoint &value)
{
    return {asio::ip::make_address(value.address), value.port};
}

/// Whether the peer has left an idle connection alone: neither closed it nor sent anything.
bool isQuiet(client_connection &connection)
{
    if (connection.buffer.size() != 0) {
        return false;
    }
    tcp::socket &socket = connection.stream.socket();
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

[[noreturn]] void fail(sent_state sent, const boost::system::error_code &error, const char *step, bool staleConnection = false)
{
    throw http_error(sent, error == beast::error::timeout, std::string(step) + ": " + error.message(), staleConnection);
}

/// A request that is being sent while its answer is already read.
struct pending_write
{
    explicit pending_write(http::request<http::string_body> request)
        : message(std::move(request))
    {
    }

    void end(const boost::system::error_code &error)
    {
        result = error;
        message.body() = std::string(); // The answer may take long.
    }

    [[nodiscard]] bool isComplete() const
    {
        return result && !*result;
    }

    http::request<http::string_body> message;
    std::optional<boost::system::error_code> result; ///< Empty while the request is being sent.
};

task<> writeBesideAnswer(connection_pointer connection, std::shared_ptr<pending_write> pending)
{
    boost::system::error_code error;
    co_await http::async_write(connection->stream, pending->message, asio::redirect_error(asio::use_awaitable, error));
    pending->end(error);
    connection->writeEnded.notify();
}

/// Whether the peer has ended its direction of a connection, and nothing else has ended it.
bool isEndedByPeerOnly(tcp::socket &socket)
{
    tcp_info info{};
    socklen_t length = sizeof info;
    return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
}

/// Makes sure that the end of the stream was the peer's end of its direction. The system reports a reset once: if it has told the write
/// beside the answer, the read finds an end of the stream.
/// @throws http_error with MaybeSent if the connection was reset before
task<> requireOrderlyEnd(connection_pointer connection, std::shared_ptr<pending_write> pending)
{
    if (pending->isComplete() || isEndedByPeerOnly(connection->stream.socket())) {
        co_return;
    }
    while (!pending->result) { // The connection has gone, so that the write ends at once.
        co_await connection->writeEnded.wait();
    }
    // Linux calls a reset a broken pipe if the peer had ended its direction before.
    if (*pending->result && *pending->result != asio::error::broken_pipe) {
        fail(sent_state::MaybeSent, *pending->result, "read body, while the request was being written");
    }
}

/// How long the peer keeps an idle connection, less a margin; none if it does not say.
template<typename Fields>
std::optional<duration> idleLimitOf(const Fields &fields)
{
    const auto found = fields.find(http::field::keep_alive);
    if (found == fields.end()) {
        return std::nullopt;
    }
    const std::string value(found->value());
    const std::size_t mark = value.find(keepAliveMark);
    std::int64_t seconds = 0;
    if (mark == std::string::npos
        || std::from_chars(value.data() + mark + keepAliveMark.size(), value.data() + value.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::max(duration(0), duration(std::chrono::seconds(seconds)) - keepAliveMargin);
}

http::request<http::string_body> toBeast(const endpoint &to, http_request request)
{
    http::request<http::string_body> result;
    result.method_string(request.method);
    result.target(request.target);
    result.version(11);
    for (const http_field &field : request.fields) {
        result.insert(field.name, field.value);
    }
    if (result.find(http::field::host) == result.end()) {
        result.set(http::field::host, to.toString());
    }
    result.body() = std::move(request.body);
    result.prepare_payload();
    return result;
}

/// Sends a request, a long one beside what the caller does next; @p timeout also starts the time for the answer that follows. @throws http_error with MaybeSent
task<std::shared_ptr<pending_write>> writeRequest(connection_pointer connection, endpoint to, http_request request, duration timeout)
{
    auto pending = std::make_shared<pending_write>(toBeast(to, std::move(request)));
    connection->stream.expires_after(timeout);
    ++connection->requests;
    if (pending->message.body().size() > bodyBesideAnswerBytes) {
        asio::co_spawn(connection->stream.get_executor(), writeBesideAnswer(connection, pending), asio::detached);
        co_return pending;
    }
    boost::system::error_code error;
    co_await http::async_write(connection->stream, pending->message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        fail(sent_state::MaybeSent, error, "write", connection->reused);
    }
    pending->end({});
    co_return pending;
}

void refuseCancelled(const http_cancellation *cancellation)
{
    if (cancellation != nullptr && cancellation->cancelled()) {
        throw http_error(sent_state::NotSent, false, "cancelled before it was sent");
    }
}

using stream_parser = http::response_parser<http::buffer_body>;

/// Passes an answer's body on piece by piece. @throws http_error with MaybeSent if it is cut
task<> passBodyOn(connection_pointer connection,
                  stream_parser &parser,
                  std::chrono::steady_clock::time_point firstBy,
                  duration silence,
                  const http_client::stream_handler &handler)
{
    std::string piece(pieceBytes, '\0');
    bool begun = false;
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        if (begun) {
            connection->stream.expires_after(silence);
        } else {
            connection->stream.expires_at(firstBy);
        }
        boost::system::error_code error;
        co_await http::async_read_some(connection->stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer) {
            fail(sent_state::MaybeSent, error, "read body");
        }
        const std::size_t length = piece.size() - parser.get().body().size;
        if (length != 0) {
            begun = true;
            co_await handler.onPiece(std::string_view(piece).substr(0, length));
        }
    }
}

template<typename Fields>
std::vector<http_field> fromBeast(const Fields &fields)
{
    std::vector<http_field> result;
    for (const auto &field : fields) {
        result.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
    }
    return result;
}

template<typename Parser>
answer_framing framingOf(const Parser &parser)
{
    if (parser.chunked()) {
        return answer_framing::Chunks;
    }
    return parser.need_eof() ? answer_framing::ConnectionEnd : answer_framing::Length;
}

/// The head that was read. @throws http_error with MaybeSent if it is not that of an answer
template<typename Parser>
http_response_head headOf(const client_connection &connection, const Parser &parser)
{
    http_response_head head{.status = parser.get().result_int(),
                            .fields = fromBeast(parser.get().base()),
                            .framing = framingOf(parser),
                            .isFirstOnConnection = connection.requests == 1};
    if (const std::string flaw = flawOf(head); !flaw.empty()) {
        throw http_error(sent_state::MaybeSent, false, "not an answer: " + flaw);
    }
    return head;
}

/// Whether nothing in a failure tells to which request it belongs. A copy of it would be taken for the next answer.
bool isNamelessFailure(const http_response_head &head, const http_client::stream_handler &handler)
{
    return head.status >= firstErrorStatus && (!handler.idOf || handler.idOf(head).empty());
}

/// Whether an answer is a repeated one to an earlier request of the connection, whose end can be found.
bool isRepeated(const client_connection &connection,
                const http_response_head &head,
                const http_client::stream_handler &handler,
                const std::string &id)
{
    if (!handler.idOf || connection.hasHeadRequest || !provesEnd(head.framing)) {
        return false;
    }
    const std::string named = handler.idOf(head);
    return !named.empty() && named != id && connection.hasCarried(named);
}

/// Reads the rest of a repeated answer. @throws http_error with MaybeSent if its end does not come
task<> dropBody(connection_pointer connection, stream_parser &parser)
{
    std::string piece(pieceBytes, '\0');
    std::size_t dropped = 0;
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        boost::system::error_code error;
        co_await http::async_read_some(connection->stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer) {
            fail(sent_state::MaybeSent, error, "read repeated answer");
        }
        dropped += piece.size() - parser.get().body().size;
        if (dropped > mostRepeatedBytes) {
            throw http_error(sent_state::MaybeSent, false, "a repeated answer is too long");
        }
    }
}

/// Reads the rest of an answer that is kept as a whole. @throws http_error with MaybeSent
task<> readBody(connection_pointer connection, http::response_parser<http::string_body> &parser)
{
    boost::system::error_code error;
    co_await http::async_read(connection->stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        fail(sent_state::MaybeSent, error, "read body");
    }
}

/// Reads the next head that is not of an interim answer into @p parser. @throws http_error with MaybeSent
template<typename Parser>
task<http_response_head>
readFinalHead(connection_pointer connection, std::optional<Parser> &parser, bool endsWithHead, boost::optional<std::uint64_t> bodyLimit)
{
    for (int interim = 0; interim <= mostInterimAnswers; ++interim) {
        parser.emplace();
        parser->skip(endsWithHead);
        parser->body_limit(bodyLimit);
        boost::system::error_code error;
        co_await http::async_read_header(connection->stream, connection->buffer, *parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            const bool wasIdle = connection->reused && !connection->hasRepeatedAnswer && interim == 0;
            fail(sent_state::MaybeSent, error, "read head", wasIdle && connection->buffer.size() == 0);
        }
        http_response_head head = headOf(*connection, *parser);
        if (!isInterim(head.status)) {
            co_return head;
        }
    }
    throw http_error(sent_state::MaybeSent, false, "too many interim answers");
}

/// Reads the head of the request's own answer into @p parser, past repeated answers to earlier requests of the connection.
/// @throws http_error with MaybeSent
task<http_response_head> readOwnHead(connection_pointer connection,
                                     std::optional<stream_parser> &parser,
                                     bool endsWithHead,
                                     const http_client::stream_handler &handler,
                                     const std::string &id)
{
    for (int repeated = 0; repeated <= mostRepeatedAnswers; ++repeated) {
        http_response_head head = co_await readFinalHead(connection, parser, endsWithHead, boost::none);
        if (!isRepeated(*connection, head, handler, id)) {
            co_return head;
        }
        connection->hasRepeatedAnswer = true;
        co_await dropBody(connection, *parser);
    }
    throw http_error(sent_state::MaybeSent, false, "too many repeated answers");
}

} // namespace

void http_cancellation::cancel()
{
    m_cancelled = true;
    if (m_close) {
        m_close();
    }
}

class http_client::implementation
{
public:
    implementation(asio::io_context &context, const http_client_options &options)
        : m_context(context)
        , m_options(options)
    {
    }

    [[nodiscard]] const http_client_options &options() const
    {
        return m_options;
    }

    void setIdleConnectionsPerEndpoint(std::size_t count)
    {
        m_options.idleConnectionsPerEndpoint = count;
    }

    /// An idle connection that may carry the request, else null.
    connection_pointer idleFor(const endpoint &to, connection_choice choice, const std::string &id)
    {
        return choice == connection_choice::IdleOrNew ? takeIdle(to, id) : nullptr;
    }

    /// A connection that is to be opened.
    [[nodiscard]] connection_pointer makeConnection() const
    {
        return std::make_shared<client_connection>(m_context);
    }

    /// @throws http_error with NotSent
    task<> open(connection_pointer connection, endpoint to, duration timeout)
    {
        connection->stream.expires_after(timeout);
        boost::system::error_code error;
        co_await connection->stream.async_connect(toAsio(to), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            fail(sent_state::NotSent, error, "connect");
        }
        ++m_opened;
        connection->stream.socket().set_option(tcp::no_delay(true), error);
        limitUnacknowledged(connection->stream.socket());
    }

    /// Keeps a connection for the next request, unless the peer has sent more than the answer.
    void giveBack(const endpoint &to, connection_pointer connection)
    {
        auto &idle = m_idle[to];
        closeOld(idle);
        const bool isUsable = connection->buffer.size() == 0 && !connection->isWornOut();
        if (idle.size() < m_options.idleConnectionsPerEndpoint && isUsable) {
            connection->stream.expires_never();
            connection->reused = true;
            const duration limit = std::min(m_options.idleTimeout, connection->idleLimit.value_or(m_options.idleTimeout));
            idle.push_back({.connection = std::move(connection), .until = std::chrono::steady_clock::now() + limit});
        }
    }

    void closeIdle(const endpoint &to)
    {
        m_idle.erase(to);
    }

    [[nodiscard]] std::uint64_t opened() const
    {
        return m_opened;
    }

    void recordRepeatedAnswer()
    {
        ++m_repeatedAnswers;
    }

    [[nodiscard]] std::uint64_t repeatedAnswers() const
    {
        return m_repeatedAnswers;
    }

private:
    void limitUnacknowledged(tcp::socket &socket) const
    {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.unacknowledgedTimeout).count();
        if (milliseconds > 0) {
            using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
            boost::system::error_code ignored; // Without the option a dead peer is found by the timeouts of the exchanges.
            socket.set_option(user_timeout(static_cast<int>(milliseconds)), ignored);
        }
    }

    /// The idle connection that was used last of those that have not carried @p id.
    connection_pointer takeIdle(const endpoint &to, const std::string &id)
    {
        const auto found = m_idle.find(to);
        if (found == m_idle.end()) {
            return nullptr;
        }
        std::deque<idle_connection> &idle = found->second;
        closeOld(idle);
        for (std::size_t index = idle.size(); index-- > 0;) {
            if (idle[index].connection->hasCarried(id)) {
                continue;
            }
            connection_pointer candidate = std::move(idle[index].connection);
            idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
            if (isQuiet(*candidate)) {
                return candidate;
            }
        }
        if (idle.empty()) {
            m_idle.erase(found);
        }
        return nullptr;
    }

    void closeOld(std::deque<idle_connection> &idle) const
    {
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(idle, [&](const idle_connection &connection) {
            return connection.until <= now;
        });
    }

    asio::io_context &m_context;
    http_client_options m_options;
    std::map<endpoint, std::deque<idle_connection>> m_idle;
    std::uint64_t m_opened = 0;
    std::uint64_t m_repeatedAnswers = 0;
};

http_client::http_client(asio::io_context &context, const http_client_options &options)
    : m_implementation(std::make_unique<implementation>(context, options))
{
}

http_client::~http_client() = default;

void http_client::setIdleConnectionsPerEndpoint(std::size_t count)
{
    m_implementation->setIdleConnectionsPerEndpoint(count);
}

void http_client::closeIdle(const endpoint &to)
{
    m_implementation->closeIdle(to);
}

task<> http_client::openIdle(endpoint to, duration timeout)
{
    const connection_pointer connection = m_implementation->makeConnection();
    co_await m_implementation->open(connection, to, timeout);
    m_implementation->giveBack(to, connection);
}

duration http_client::connectTimeout() const
{
    return m_implementation->options().connectTimeout;
}

std::uint64_t http_client::connectionsOpened() const
{
    return m_implementation->opened();
}

std::uint64_t http_client::repeatedAnswers() const
{
    return m_implementation->repeatedAnswers();
}

task<http_response> http_client::exchange(endpoint to, http_request request, duration timeout)
{
    connection_pointer connection = m_implementation->idleFor(to, connection_choice::IdleOrNew, std::string());
    if (!connection) {
        connection = m_implementation->makeConnection();
        co_await m_implementation->open(connection, to, connectTimeout());
    }
    const bool endsWithHead = request.method == headMethod;
    const auto pending = co_await writeRequest(connection, to, std::move(request), timeout);
    std::optional<http::response_parser<http::string_body>> parser;
    http_response_head head;
    try {
        head = co_await readFinalHead(connection, parser, endsWithHead, m_implementation->options().maximumBody);
        co_await readBody(connection, *parser);
        if (!provesEnd(head.framing)) {
            co_await requireOrderlyEnd(connection, pending);
        }
    } catch (const http_error &error) {
        if (error.timedOut()) {
            // Connections may go silent together, without being closed.
            m_implementation->closeIdle(to);
        }
        throw;
    }
    connection->idleLimit = idleLimitOf(parser->get());
    auto answer = parser->release();
    http_response result{
        .status = head.status, .fields = std::move(head.fields), .body = std::move(answer.body()), .framing = head.framing};
    if (answer.keep_alive() && pending->isComplete()) {
        m_implementation->giveBack(to, connection);
    }
    co_return result;
}

task<> http_client::stream(endpoint to, http_request request, stream_handler handler, stream_options options)
{
    const std::shared_ptr<http_cancellation> &cancellation = options.cancellation;
    refuseCancelled(cancellation.get());
    connection_pointer connection = m_implementation->idleFor(to, options.choice, options.id);
    const bool isNew = !connection;
    if (isNew) {
        connection = m_implementation->makeConnection();
    }
    if (cancellation) {
        cancellation->m_close = [weak = std::weak_ptr(connection)] {
            if (const auto open = weak.lock()) {
                open->stream.close();
            }
        };
    }
    if (isNew) {
        co_await m_implementation->open(connection, to, connectTimeout());
        refuseCancelled(cancellation.get());
    }
    if (handler.onConnected) {
        handler.onConnected(isNew);
    }
    const auto firstBy = std::chrono::steady_clock::now() + options.timeouts.firstByte;
    const bool endsWithHead = request.method == headMethod;
    connection->carry(options.id, endsWithHead);
    const auto pending = co_await writeRequest(connection, to, std::move(request), options.timeouts.firstByte);
    std::optional<stream_parser> parser;
    const http_response_head head = co_await readOwnHead(connection, parser, endsWithHead, handler, options.id);
    connection->idleLimit = idleLimitOf(parser->get());
    co_await handler.onHead(head);
    co_await passBodyOn(connection, *parser, firstBy, options.timeouts.silence, handler);
    if (!provesEnd(head.framing)) {
        co_await requireOrderlyEnd(connection, pending);
    }
    if (cancellation) {
        cancellation->m_close = nullptr;
    }
    if (connection->hasRepeatedAnswer) {
        m_implementation->recordRepeatedAnswer();
    }
    if (parser->get().keep_alive() && pending->isComplete() && !isNamelessFailure(head, handler)) {
        m_implementation->giveBack(to, connection);
    }
}

} // namespace banyan
