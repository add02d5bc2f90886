#pragma once

#include "banyan/core/byte_share.h"
#include "banyan/io/client_memory.h"
#include "banyan/io/error_answers.h"
#include "banyan/io/http_body_error.h"
#include "banyan/io/http_exchange.h"
#include "http_route_table.h"
#include "server_connection.h"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace banyan {

/// A new id for a request that came without an acceptable one.
[[nodiscard]] std::string newRequestId();

/// The state of one request on its connection: reads the body and writes the answer.
class http_exchange::implementation
{
public:
    /// What the server's options say of exchanges.
    struct options
    {
        duration bodyTimeout; ///< Longest silence within a body.
        std::string requestIdField;
    };

    implementation(connection_pointer connection,
                   boost::beast::http::request_parser<boost::beast::http::buffer_body> &parser,
                   options settings)
        : m_connection(std::move(connection))
        , m_parser(parser)
        , m_options(std::move(settings))
        , m_body(m_connection->memory != nullptr ? m_connection->memory->share(memory_holder::Bodies) : byte_share())
        , m_method(parser.get().method_string())
        , m_wholeTarget(parser.get().target())
        , m_target(split_target::parse(m_wholeTarget))
    {
        const std::string given(parser.get()[m_options.requestIdField]);
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
        if (!m_parser.is_done()) {
            co_await makeRoom(m_connection->held, server_connection::ownBytes + m_connection->buffer.capacity() + pieceBytes);
        }
        std::string piece(pieceBytes, '\0');
        while (!m_parser.is_done()) {
            m_parser.get().body().data = piece.data();
            m_parser.get().body().size = piece.size();
            m_connection->stream.expires_after(m_options.bodyTimeout);
            boost::system::error_code error = asio::error::operation_aborted;
            if (m_connection->refusal == body_refusal::None) {
                m_connection->readsBody = true;
                co_await boost::beast::http::async_read_some(
                    m_connection->stream, m_connection->buffer, m_parser, asio::redirect_error(asio::use_awaitable, error));
                m_connection->readsBody = false;
            }
            if (error && error != boost::beast::http::error::need_buffer) {
                co_await refuseBody(error);
            }
            const std::size_t length = piece.size() - m_parser.get().body().size;
            if (length != 0) {
                m_connection->progressed(length);
                piece.resize(length);
                co_return piece;
            }
        }
        co_return std::string();
    }

    task<std::string> bodyPiece()
    {
        m_connection->await(client_phase::Body);
        std::string piece = co_await nextPiece();
        m_connection->client.run();
        co_return piece;
    }

    task<std::string> wholeBody(std::size_t limit)
    {
        const auto announced = m_parser.content_length();
        if (announced && *announced > limit) {
            co_await refuseLargeBody(limit);
        }
        if (m_parser.is_done()) {
            co_return co_await nextPiece();
        }
        std::string result;
        m_connection->await(client_phase::Body);
        for (;;) {
            const std::string piece = co_await nextPiece();
            if (piece.empty()) {
                break;
            }
            if (result.size() + piece.size() > limit) {
                result = {};
                m_body.release();
                co_await refuseLargeBody(limit);
            }
            co_await grow(result, result.size() + piece.size(), announced ? *announced : limit);
            result += piece;
        }
        co_await makeRoom(m_body, copiesOfBody * result.size());
        m_connection->client.run();
        co_return result;
    }

    task<> sendWhole(http_response response)
    {
        if (hasNoBody(response.status)) {
            response.body.clear();
        }
        if (isHeadRequest() || hasNoBody(response.status)) {
            co_await sendHeadOnly(std::move(response));
            co_return;
        }
        if (!provesEnd(response.framing)) {
            co_await sendHead(response.status, std::move(response.fields), response.framing);
            co_await sendPiece(response.body);
            co_await sendEnd();
            co_return;
        }
        boost::beast::http::response<boost::beast::http::string_body> message;
        message.result(response.status);
        message.version(11);
        addFields(message, response.fields);
        const bool isLong = response.body.size() > answerPieceBytes;
        byte_share held = shareOfAnswer(response.body.size());
        message.keep_alive(keepsAlive());
        m_answered = true;
        m_connection->stream.expires_after(writeTimeout);
        const write_phase writing(*m_connection, response.body.size());
        if (isLong) {
            message.content_length(response.body.size());
            co_await sendLong(message, response.body);
            co_return;
        }
        message.body() = std::move(response.body);
        message.prepare_payload();
        co_await boost::beast::http::async_write(m_connection->stream, message, asio::use_awaitable);
        m_complete = true;
    }

    task<> sendHead(unsigned status, std::vector<http_field> fields, answer_framing framing)
    {
        m_endsWithHead = isHeadRequest() || hasNoBody(status);
        m_isChunked = provesEnd(framing) || m_endsWithHead;
        if (!m_isChunked) {
            closeAfterwards();
            m_connection->setResetsAtEnd(true);
        }
        boost::beast::http::response<boost::beast::http::empty_body> message;
        message.result(status);
        message.version(11);
        addFields(message, fields);
        message.chunked(m_isChunked && !hasNoBody(status));
        message.keep_alive(keepsAlive());
        boost::beast::http::response_serializer<boost::beast::http::empty_body> serializer(message);
        m_answered = true;
        m_connection->stream.expires_after(writeTimeout);
        const write_phase writing(*m_connection, 0);
        co_await boost::beast::http::async_write_header(m_connection->stream, serializer, asio::use_awaitable);
    }

    task<> sendPiece(std::string_view piece)
    {
        if (piece.empty() || m_endsWithHead) {
            co_return;
        }
        m_connection->stream.expires_after(writeTimeout);
        byte_share held = shareOfAnswer(piece.size());
        const write_phase writing(*m_connection, piece.size());
        const asio::const_buffer bytes(piece.data(), piece.size());
        if (m_isChunked) {
            co_await asio::async_write(m_connection->stream, boost::beast::http::make_chunk(bytes), asio::use_awaitable);
        } else {
            co_await asio::async_write(m_connection->stream, bytes, asio::use_awaitable);
        }
    }

    task<> sendEnd()
    {
        if (!m_isChunked) {
            m_connection->setResetsAtEnd(false);
            m_complete = true;
            co_return;
        }
        if (!m_endsWithHead) {
            m_connection->stream.expires_after(writeTimeout);
            co_await asio::async_write(m_connection->stream, boost::beast::http::make_chunk_last(), asio::use_awaitable);
        }
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
        return std::string(m_parser.get()[boost::beast::string_view(name.data(), name.size())]);
    }

    [[nodiscard]] std::vector<http_field> fields() const
    {
        std::vector<http_field> result;
        for (const auto &field : m_parser.get().base()) {
            result.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
        }
        return result;
    }

    [[nodiscard]] const connection_pointer &connection() const
    {
        return m_connection;
    }

    std::vector<std::string> pathArguments;

private:
    static constexpr std::size_t pieceBytes = std::size_t(16) << 10;
    static constexpr std::size_t answerPieceBytes = std::size_t(64) << 10; ///< Of a long answer, written at once.
    static constexpr std::size_t copiesOfBody = 3; ///< While it is sent on to an upstream.
    static constexpr duration roomPatience = std::chrono::milliseconds(200); ///< For clients that give way to a body.

    /// Tells what the connection is busy with while it writes.
    class write_phase
    {
    public:
        write_phase(server_connection &connection, std::size_t bytes)
            : m_connection(connection)
        {
            m_connection.client.bytes = bytes;
            m_connection.await(client_phase::Answer);
        }
        ~write_phase()
        {
            m_connection.client.run();
        }
        write_phase(const write_phase &) = delete;
        write_phase &operator=(const write_phase &) = delete;

    private:
        server_connection &m_connection;
    };

    [[nodiscard]] byte_share shareOfAnswer(std::size_t bytes) const
    {
        byte_share share = m_connection->memory != nullptr ? m_connection->memory->share(memory_holder::Answers) : byte_share();
        share.charge(bytes);
        return share;
    }

    /// Writes a head and a body whose progress can be told.
    template<typename Message>
    task<> sendLong(Message &message, const std::string &body)
    {
        boost::beast::http::response_serializer<boost::beast::http::string_body> serializer(message);
        co_await boost::beast::http::async_write_header(m_connection->stream, serializer, asio::use_awaitable);
        for (std::size_t sent = 0; sent < body.size();) {
            const asio::const_buffer piece(body.data() + sent, std::min(answerPieceBytes, body.size() - sent));
            const std::size_t taken = co_await m_connection->stream.async_write_some(piece, asio::use_awaitable);
            m_connection->progressed(taken);
            sent += taken;
        }
        m_complete = true;
    }

    /// Draws room for @p share, or refuses the request.
    task<> makeRoom(byte_share &share, std::size_t bytes)
    {
        if (share.resize(bytes)) {
            co_return;
        }
        const bool hasRoom = co_await m_connection->memory->resize(share, bytes, roomPatience);
        if (!hasRoom) {
            m_connection->refusal = body_refusal::Memory;
        }
        if (m_connection->refusal != body_refusal::None) {
            co_await refuseBody(asio::error::operation_aborted);
        }
        m_connection->await(client_phase::Body); // The client is not slow because it had to wait.
    }

    /// Lets a body become @p needed bytes long, @p longest at most.
    task<> grow(std::string &body, std::size_t needed, std::size_t longest)
    {
        if (needed <= body.capacity()) {
            co_return;
        }
        const std::size_t next = std::min(std::max(needed, 2 * body.capacity()), std::max(needed, longest));
        co_await makeRoom(m_body, body.capacity() + next); // Both exist while the bytes are moved.
        body.reserve(next);
        co_await makeRoom(m_body, body.capacity());
        m_connection->client.bytes = m_body.bytes() + m_connection->held.bytes();
    }
    static constexpr duration writeTimeout = std::chrono::seconds(30); ///< For a slow reader to take one piece.

    [[nodiscard]] bool isHeadRequest() const
    {
        return m_method == "HEAD";
    }

    /// Whether an answer with this status ends with its head. The end of a frame would be taken for the next answer.
    [[nodiscard]] static bool hasNoBody(unsigned status)
    {
        const auto known = static_cast<boost::beast::http::status>(status);
        return known == boost::beast::http::status::no_content || known == boost::beast::http::status::not_modified;
    }

    task<> sendHeadOnly(http_response response)
    {
        boost::beast::http::response<boost::beast::http::empty_body> message;
        message.result(response.status);
        message.version(11);
        addFields(message, response.fields);
        if (!response.body.empty()) {
            message.content_length(response.body.size());
        }
        message.keep_alive(keepsAlive());
        m_answered = true;
        m_connection->stream.expires_after(writeTimeout);
        co_await boost::beast::http::async_write(m_connection->stream, message, asio::use_awaitable);
        m_complete = true;
    }

    template<typename Message>
    void addFields(Message &message, const std::vector<http_field> &fields) const
    {
        for (const http_field &field : fields) {
            message.insert(field.name, field.value);
        }
        message.set(m_options.requestIdField, m_requestId);
    }

    task<> sendContinue()
    {
        if (m_continueHandled) {
            co_return;
        }
        m_continueHandled = true;
        if (!boost::beast::iequals(m_parser.get()[boost::beast::http::field::expect], "100-continue")) {
            co_return;
        }
        boost::beast::http::response<boost::beast::http::empty_body> message(boost::beast::http::status::continue_, 11);
        m_connection->stream.expires_after(writeTimeout);
        co_await boost::beast::http::async_write(m_connection->stream, message, asio::use_awaitable);
    }

    task<> refuseBody(boost::system::error_code error)
    {
        closeAfterwards();
        if (m_connection->refusal != body_refusal::None && !m_answered) {
            const bool isShutdown = m_connection->refusal == body_refusal::Shutdown;
            http_response answer =
                isShutdown
                    ? errorAnswer(503, "shutting_down", "The server shuts down; send the request to another one.", run_claim::NotRun)
                    : errorAnswer(
                        503, "overloaded", "The server has no memory for the body; send the request to another one.", run_claim::NotRun);
            answer.fields.push_back({.name = "Retry-After", .value = "0"});
            m_body.release();
            co_await sendWhole(std::move(answer));
            throw http_body_error(isShutdown ? "expected the whole body before the shutdown"
                                             : "expected memory for the whole body, found none");
        }
        if (error == boost::beast::error::timeout) {
            // The timeout has closed the socket: nothing can be answered any more.
            throw http_body_error("expected the rest of the body, found silence until the timeout");
        }
        if (!m_answered && error != boost::beast::http::error::end_of_stream && error != boost::beast::http::error::partial_message) {
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
    boost::beast::http::request_parser<boost::beast::http::buffer_body> &m_parser;
    options m_options;
    byte_share m_body; ///< Of the request's body and its copies, until the exchange ends.
    std::string m_method;
    std::string m_wholeTarget;
    split_target m_target;
    std::string m_requestId;
    bool m_continueHandled = false;
    bool m_isChunked = true; ///< Whether pieces are sent in chunks.
    bool m_endsWithHead = false; ///< Whether the answer that was begun has no body.
    bool m_answered = false;
    bool m_complete = false;
    bool m_closing = false;
};

} // namespace banyan
