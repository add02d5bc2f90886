#include "banyan/io/client_memory.h"

#include "banyan/core/byte_share.h"
#include "banyan/core/progress_meter.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <exception>
#include <string>
#include <utility>
#include <vector>

using namespace banyan;
using asio::ip::tcp;

namespace {

constexpr duration generousTimeout = std::chrono::seconds(30);
constexpr std::size_t capacity = 400000;
constexpr std::size_t bodyLimit = 300000;

/// A server with little memory and few connections, and a client in one thread.
struct small_server
{
    client_memory memory{{.capacity = capacity, .reserve = capacity / 4, .smallShare = 60000}};
    asio::io_context context;
    http_server server{context, {.listen = endpoint::parse("127.0.0.1:0"), .maximumConnections = 3, .memory = &memory}};
    http_client client{context, {}};

    small_server()
    {
        server.route("POST", "/length", [](http_exchange &exchange) -> task<> {
            const std::string body = co_await exchange.body(bodyLimit);
            http_response answer{.body = std::to_string(body.size())};
            co_await exchange.respond(std::move(answer));
        });
        server.start();
    }

    template<typename Work>
    void run(Work work)
    {
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(work), [&](std::exception_ptr error) {
            failure = std::move(error);
            context.stop();
        });
        context.run();
        context.restart();
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    http_response post(std::size_t length)
    {
        http_response answer;
        run([&]() -> task<> {
            http_request request{.method = "POST", .target = "/length", .body = std::string(length, 'x')};
            answer = co_await client.exchange(server.address(), std::move(request), generousTimeout);
        });
        return answer;
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return {asio::ip::make_address("127.0.0.1"), server.address().port};
    }
};

} // namespace

TEST_CASE("http_server refuses a body for which there is no memory as not run, and serves small ones beside it")
{
    small_server fixture;
    byte_share others = fixture.memory.share(memory_holder::Answers);
    others.charge(capacity * 3 / 4);
    const http_response refused = fixture.post(bodyLimit);
    CHECK(refused.status == 503);
    CHECK(refused.field("X-Banyan-Run") == "not-run");
    CHECK(refused.field("Retry-After") == "0");
    CHECK(refused.field("Connection") == "close");
    CHECK(fixture.post(100).body == "100");
    others.release();
    CHECK(fixture.post(capacity / 8).body == std::to_string(capacity / 8));
}

TEST_CASE("http_server ends a body that has stalled when another one needs its memory")
{
    small_server fixture;
    tcp::socket stalled(fixture.context);
    std::string answer;
    fixture.run([&]() -> task<> {
        co_await stalled.async_connect(fixture.address(), asio::use_awaitable);
        const std::string part = "POST /length HTTP/1.1\r\nHost: h\r\nContent-Length: 120000\r\n\r\n" + std::string(90000, 'x');
        co_await asio::async_write(stalled, asio::buffer(part), asio::use_awaitable);
        asio::steady_timer timer(fixture.context, progress_meter::window * 5 / 4);
        co_await timer.async_wait(asio::use_awaitable);
    });
    CHECK(fixture.memory.budget().used(memory_holder::Bodies) >= 90000);
    CHECK(fixture.post(65000).status == 200);
    fixture.run([&]() -> task<> {
        boost::system::error_code error;
        co_await asio::async_read(stalled, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    });
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(fixture.server.turnedAway() == 1);
}

TEST_CASE("http_server ends a connection outside requests in favour of a new one when it has no more")
{
    small_server fixture;
    std::vector<tcp::socket> idle;
    fixture.run([&]() -> task<> {
        for (int count = 0; count < 10; ++count) {
            idle.emplace_back(fixture.context);
            co_await idle.back().async_connect(fixture.address(), asio::use_awaitable);
        }
    });
    CHECK(fixture.post(10).body == "10");
    CHECK(fixture.server.connections() <= 3);
    CHECK(fixture.server.turnedAway() == 8);
}
