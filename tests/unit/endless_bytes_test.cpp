#include "banyan/io/http_client.h"
#include "banyan/io/http_error.h"
#include "banyan/io/http_exchange.h"
#include "banyan/io/http_message.h"
#include "banyan/io/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <string>

using namespace banyan;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr std::size_t mostBytes = std::size_t(24) << 20; // More than the buffers of both sockets, and far less than a machine has.
constexpr std::size_t discardedBytes = std::size_t(64) << 20; // That a server reads and drops after an error, for its answer to arrive.
constexpr std::size_t endlessBytes = std::size_t(256) << 20;

/// Sends a beginning and then the same bytes without end, until its peer closes.
class endless_upstream
{
public:
    endless_upstream(asio::io_context &context, std::string beginning, const std::string &repeated)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_beginning(std::move(beginning))
    {
        while (m_block.size() < blockBytes) {
            m_block += repeated;
        }
        asio::co_spawn(context, serve(), asio::detached);
    }

    [[nodiscard]] endpoint address() const
    {
        return {.address = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }

    std::size_t sent = 0;

private:
    static constexpr std::size_t blockBytes = std::size_t(64) << 10;

    task<> serve()
    {
        tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        std::array<char, 4096> request{};
        co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
        boost::system::error_code error;
        co_await asio::async_write(socket, asio::buffer(m_beginning), asio::redirect_error(asio::use_awaitable, error));
        while (!error && sent < endlessBytes) {
            sent += co_await asio::async_write(socket, asio::buffer(m_block), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    tcp::acceptor m_acceptor;
    std::string m_beginning;
    std::string m_block;
};

struct endless_answer
{
    std::string name;
    std::string beginning;
    std::string repeated;
};

/// Answers with a place in which nothing but the peer's limit ends them.
std::vector<endless_answer> endlessAnswers()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"no head", "", "x"},
            {"a status line", "HTTP/1.1 200 ", "x"},
            {"a field", head + "Field: ", "x"},
            {"fields", head, "Field: value\r\n"},
            {"a chunk's size", chunked, "0"},
            {"a chunk's extension", chunked + "5;", "x"},
            {"a field after the last chunk", chunked + "0\r\nField: ", "x"},
            {"fields after the last chunk", chunked + "0\r\n", "Field: value\r\n"}};
}

/// Calls an upstream until the call ends. Returns why it ended.
std::string outcomeOf(asio::io_context &context, const std::function<task<>()> &call)
{
    std::string outcome;
    const auto run = [&]() -> task<> {
        try {
            co_await call();
            outcome = "an answer";
        } catch (const http_error &error) {
            outcome = error.what();
        }
    };
    asio::co_spawn(context, run(), asio::detached);
    while (outcome.empty()) {
        context.run_one();
    }
    return outcome;
}

} // namespace

// Guards against keeping all bytes of a peer that sends no answer until the process runs out of memory.
TEST_CASE("http_client ends a whole answer that goes on without end, and keeps little of it")
{
    for (const endless_answer &answer : endlessAnswers()) {
        asio::io_context context;
        endless_upstream upstream(context, answer.beginning, answer.repeated);
        http_client client(context, {});
        const std::string outcome = outcomeOf(context, [&]() -> task<> {
            http_request request{.target = "/"};
            (void)co_await client.exchange(upstream.address(), std::move(request), 3s);
        });
        INFO("endless: " << answer.name << ", ended by: " << outcome);
        CHECK(outcome != "an answer");
        CHECK(upstream.sent < mostBytes);
    }
}

TEST_CASE("http_client ends a streamed answer that goes on without end, and keeps little of it")
{
    for (const endless_answer &answer : endlessAnswers()) {
        asio::io_context context;
        endless_upstream upstream(context, answer.beginning, answer.repeated);
        http_client client(context, {});
        std::size_t passedOn = 0;
        const std::string outcome = outcomeOf(context, [&]() -> task<> {
            http_request request{.target = "/"};
            http_client::stream_handler handler;
            handler.onHead = [](const http_response_head &) -> task<> {
                co_return;
            };
            handler.onPiece = [&](std::string_view piece) -> task<> {
                passedOn += piece.size();
                co_return;
            };
            const http_client::stream_options options{.timeouts = {.firstByte = 3s, .silence = 3s}};
            co_await client.stream(upstream.address(), std::move(request), std::move(handler), options);
        });
        INFO("endless: " << answer.name << ", ended by: " << outcome << ", passed on " << passedOn);
        CHECK(outcome != "an answer");
        CHECK(upstream.sent < mostBytes);
    }
}

TEST_CASE("http_server ends a request that goes on without end, and keeps little of it")
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_answer> requests = {{"no head", "", "x"},
                                                  {"fields", head, "Field: value\r\n"},
                                                  {"a chunk's size", chunked, "0"},
                                                  {"a chunk's extension", chunked + "5;", "x"},
                                                  {"fields after the last chunk", chunked + "0\r\n", "Field: value\r\n"}};
    for (const endless_answer &request : requests) {
        asio::io_context context;
        http_server server(context, {.listen = endpoint::parse("127.0.0.1:0")});
        server.route("POST", "/x", [](http_exchange &exchange) -> task<> {
            (void)co_await exchange.body(1000);
        });
        server.start();
        std::string block;
        while (block.size() < (std::size_t(64) << 10)) {
            block += request.repeated;
        }
        std::size_t sent = 0;
        bool done = false;
        const auto run = [&]() -> task<> {
            tcp::socket socket(context);
            const tcp::endpoint address(asio::ip::make_address("127.0.0.1"), server.address().port);
            co_await socket.async_connect(address, asio::use_awaitable);
            boost::system::error_code error;
            co_await asio::async_write(socket, asio::buffer(request.beginning), asio::redirect_error(asio::use_awaitable, error));
            while (!error && sent < endlessBytes) {
                sent += co_await asio::async_write(socket, asio::buffer(block), asio::redirect_error(asio::use_awaitable, error));
            }
            done = true;
        };
        asio::co_spawn(context, run(), asio::detached);
        while (!done) {
            context.run_one();
        }
        INFO("endless: " << request.name);
        CHECK(sent < mostBytes + discardedBytes);
    }
}
