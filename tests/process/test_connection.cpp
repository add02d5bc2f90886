#include "test_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace banyan::process_tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t pieceBytes = 65536;
constexpr std::uint64_t largestBody = std::uint64_t(1) << 30; ///< Bytes.

} // namespace

struct test_connection::implementation
{
    explicit implementation(std::chrono::milliseconds patienceOfSteps)
        : patience(patienceOfSteps)
    {
    }

    /// Runs one asynchronous step to its end. @p start is given the completion handler.
    template<typename Start>
    boost::system::error_code attempt(Start start)
    {
        boost::system::error_code result;
        stream.expires_after(patience);
        start([&result](boost::system::error_code error, auto...) {
            result = error;
        });
        context.restart();
        context.run();
        return result;
    }

    template<typename Start>
    void step(const char *what, Start start)
    {
        const boost::system::error_code error = attempt(start);
        if (error) {
            throw call_failure(std::string(what) + ": " + error.message());
        }
    }

    std::chrono::milliseconds patience;
    asio::io_context context;
    beast::tcp_stream stream{context};
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::buffer_body>> parser;
};

test_connection::test_connection(const endpoint &to, std::chrono::milliseconds patience)
    : m_implementation(std::make_unique<implementation>(patience))
{
    const tcp::endpoint address(asio::ip::make_address(to.address), to.port);
    m_implementation->step("connect", [&](auto handler) {
        m_implementation->stream.async_connect(address, handler);
    });
}

test_connection::~test_connection() = default;

void test_connection::send(const http_request &request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, "test");
    for (const http_field &field : request.fields) {
        message.insert(field.name, field.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    m_implementation->step("send", [&](auto handler) {
        http::async_write(m_implementation->stream, message, handler);
    });
}

void test_connection::sendRaw(std::string_view bytes)
{
    m_implementation->step("send", [&](auto handler) {
        asio::async_write(m_implementation->stream, asio::buffer(bytes.data(), bytes.size()), handler);
    });
}

http_response test_connection::receive()
{
    http_response response = receiveHead();
    for (std::string piece = receivePiece(); !piece.empty(); piece = receivePiece()) {
        response.body += piece;
    }
    return response;
}

http_response test_connection::receiveHead()
{
    auto &parser = m_implementation->parser.emplace();
    parser.body_limit(largestBody);
    m_implementation->step("receive head", [&](auto handler) {
        http::async_read_header(m_implementation->stream, m_implementation->buffer, parser, handler);
    });
    http_response response{.status = parser.get().result_int()};
    for (const auto &field : parser.get()) {
        response.fields.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
    }
    return response;
}

std::string test_connection::receivePiece()
{
    auto &parser = *m_implementation->parser;
    std::string piece(pieceBytes, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        const boost::system::error_code error = m_implementation->attempt([&](auto handler) {
            http::async_read_some(m_implementation->stream, m_implementation->buffer, parser, handler);
        });
        if (error && error != http::error::need_buffer) {
            throw call_failure("receive body: " + error.message());
        }
        const std::size_t length = piece.size() - parser.get().body().size;
        if (length != 0) {
            piece.resize(length);
            return piece;
        }
    }
    return {};
}

bool test_connection::closedByPeer()
{
    char byte = 0;
    const boost::system::error_code error = m_implementation->attempt([&](auto handler) {
        m_implementation->stream.async_read_some(asio::buffer(&byte, 1), handler);
    });
    return error == asio::error::eof || error == asio::error::connection_reset;
}

http_response call(const endpoint &to, const http_request &request, std::chrono::milliseconds patience)
{
    try {
        test_connection connection(to, patience);
        connection.send(request);
        return connection.receive();
    } catch (const call_failure &failure) {
        throw call_failure(to.toString() + request.target + ": " + failure.what());
    }
}

} // namespace banyan::process_tests
