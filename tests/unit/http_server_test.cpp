#include "banyan/io/http_server.h"

#include "banyan/io/http_body_error.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace banyan;
using asio::ip::tcp;

namespace {

constexpr duration generousTimeout = std::chrono::seconds(30);
constexpr http_client::stream_timeouts generousTimeouts{.firstByte = generousTimeout, .silence = generousTimeout};
constexpr std::size_t bodyLimit = 100;

/// A server with an echo route and a client in one thread.
struct server_fixture
{
    asio::io_context context;
    http_server server{context, {.listen = endpoint::parse("127.0.0.1:0"), .maximumHead = 2048}};
    http_client client{context, {}};
    bool disconnected = false;

    server_fixture()
    {
        server.route("POST", "/echo/{}", [](http_exchange &exchange) -> task<> {
            const std::string body = co_await exchange.body(bodyLimit);
            http_response answer{.body = exchange.pathArguments().front() + ":" + body};
            co_await exchange.respond(std::move(answer));
        });
        server.route("GET", "/stream", [](http_exchange &exchange) -> task<> {
            std::vector<http_field> noFields;
            co_await exchange.begin(200, noFields);
            co_await exchange.write("one ");
            co_await exchange.write("two");
            co_await exchange.finish();
        });
        server.route("GET", "/cut", [](http_exchange &exchange) -> task<> {
            std::vector<http_field> noFields;
            co_await exchange.begin(200, noFields);
            co_await exchange.write("one ");
            throw std::runtime_error("cut on purpose");
        });
        server.route("GET", "/wait", [this](http_exchange &exchange) -> task<> {
            asio::steady_timer timer(context, generousTimeout);
            exchange.onDisconnect([this, &timer] {
                disconnected = true;
                timer.cancel();
            });
            boost::system::error_code error;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            throw std::runtime_error("peer has gone");
        });
        server.start();
    }

    /// Runs @p work to its end and passes its exception on.
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

    http_response exchange(http_request request)
    {
        http_response answer;
        run([&]() -> task<> {
            answer = co_await client.exchange(server.address(), request, generousTimeout);
        });
        return answer;
    }

    /// Sends bytes as they are and returns all that the server sends until it closes.
    std::string raw(const std::string &bytes)
    {
        std::string answer;
        run([&]() -> task<> {
            tcp::socket socket(context);
            const tcp::endpoint address(asio::ip::make_address("127.0.0.1"), server.address().port);
            co_await socket.async_connect(address, asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
            boost::system::error_code error;
            co_await asio::async_read(socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, error));
        });
        return answer;
    }
};

} // namespace

TEST_CASE("http_server passes path arguments and bodies to the handler")
{
    server_fixture fixture;
    CHECK(fixture.exchange({.method = "POST", .target = "/echo/a%20b", .body = "text"}).body == "a b:text");
}

TEST_CASE("http_server keeps the caller's request id")
{
    server_fixture fixture;
    const http_request request{.target = "/stream", .fields = {{"X-Request-Id", "mine-1"}}};
    CHECK(fixture.exchange(request).field("x-request-id") == "mine-1");
}

TEST_CASE("http_server answers 404 for an unknown path and 405 for an unknown method")
{
    server_fixture fixture;
    CHECK(fixture.exchange({.target = "/nowhere"}).status == 404);
    CHECK(fixture.exchange({.method = "DELETE", .target = "/stream"}).status == 405);
}

TEST_CASE("http_server answers 413 for a body over the limit, announced or not")
{
    server_fixture fixture;
    CHECK(fixture.exchange({.method = "POST", .target = "/echo/a", .body = std::string(bodyLimit + 1, 'x')}).status == 413);
    const std::string chunk = "65\r\n" + std::string(bodyLimit + 1, 'x') + "\r\n0\r\n\r\n";
    CHECK(fixture.raw("POST /echo/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk).find("413") != std::string::npos);
}

TEST_CASE("http_server answers 431 for a head over the limit and 400 for one that is not HTTP")
{
    server_fixture fixture;
    CHECK(fixture.raw("GET /stream HTTP/1.1\r\nX: " + std::string(4096, 'x') + "\r\n\r\n").find("431") != std::string::npos);
    CHECK(fixture.raw("nonsense\r\n\r\n").find("400") != std::string::npos);
}

TEST_CASE("http_client streams an answer to its end")
{
    server_fixture fixture;
    std::string text;
    fixture.run([&]() -> task<> {
        http_client::stream_handler handler;
        handler.onHead = [](const http_response_head &) -> task<> {
            co_return;
        };
        handler.onPiece = [&](std::string_view piece) -> task<> {
            text += piece;
            co_return;
        };
        http_request request{.target = "/stream"};
        const http_client::stream_options options{.timeouts = generousTimeouts};
        co_await fixture.client.stream(fixture.server.address(), std::move(request), handler, options);
    });
    CHECK(text == "one two");
}

TEST_CASE("http_client opens a new connection after the idle ones were closed, or if it is asked to")
{
    server_fixture fixture;
    const auto open = [&](connection_choice choice) {
        fixture.run([&]() -> task<> {
            http_client::stream_handler handler;
            handler.onHead = [](const http_response_head &) -> task<> {
                co_return;
            };
            handler.onPiece = [](std::string_view) -> task<> {
                co_return;
            };
            http_request request{.target = "/stream"};
            const http_client::stream_options options{.timeouts = generousTimeouts, .choice = choice};
            co_await fixture.client.stream(fixture.server.address(), std::move(request), handler, options);
        });
        return fixture.client.connectionsOpened();
    };
    CHECK(open(connection_choice::IdleOrNew) == 1);
    CHECK(open(connection_choice::IdleOrNew) == 1);
    CHECK(open(connection_choice::New) == 2);
    fixture.client.closeIdle(fixture.server.address());
    CHECK(open(connection_choice::IdleOrNew) == 3);
}

TEST_CASE("http_client reports a cut answer as an error after sending")
{
    server_fixture fixture;
    try {
        fixture.exchange({.target = "/cut"});
        FAIL("expected http_error, found a whole answer");
    } catch (const http_error &error) {
        CHECK(error.sent() == sent_state::MaybeSent);
    }
}

TEST_CASE("http_client reports a refused connection as not sent")
{
    server_fixture fixture;
    fixture.server.stopAccepting();
    const endpoint closed{.address = "127.0.0.1", .port = 1};
    try {
        fixture.run([&]() -> task<> {
            http_request request;
            co_await fixture.client.exchange(closed, std::move(request), generousTimeout);
        });
        FAIL("expected http_error, found an answer");
    } catch (const http_error &error) {
        CHECK(error.sent() == sent_state::NotSent);
    }
}

TEST_CASE("http_server tells a handler that its peer has gone")
{
    server_fixture fixture;
    auto cancellation = std::make_shared<http_cancellation>();
    CHECK_THROWS_AS(fixture.run([&]() -> task<> {
        asio::steady_timer soon(fixture.context, std::chrono::milliseconds(20));
        soon.async_wait([&](boost::system::error_code) {
            cancellation->cancel();
        });
        http_request request{.target = "/wait"};
        http_client::stream_handler handler;
        const http_client::stream_options options{.timeouts = generousTimeouts, .cancellation = cancellation};
        co_await fixture.client.stream(fixture.server.address(), std::move(request), handler, options);
    }),
                    http_error);
    fixture.context.restart();
    while (!fixture.disconnected) {
        fixture.context.run_one();
    }
    CHECK(fixture.disconnected);
}

TEST_CASE("http_server takes no request from a connection that a stop has closed")
{
    asio::io_context context;
    http_server server(context, {.listen = endpoint::parse("127.0.0.1:0")});
    tcp::socket client(context);
    const std::string request = "GET /any HTTP/1.1\r\nHost: h\r\n\r\n";
    int requests = 0;
    server.routeOthers([&](http_exchange &exchange) -> task<> {
        ++requests;
        http_response answer;
        co_await exchange.respond(std::move(answer));
        // The next request is there when the server begins to read it, so that the read completes at once; the stop runs
        // before its handler.
        asio::write(client, asio::buffer(request));
        asio::post(context, [&] {
            server.stopAccepting();
        });
    });
    server.start();
    const endpoint address = server.address();
    client.connect({asio::ip::make_address(address.address), address.port});
    asio::write(client, asio::buffer(request));
    context.run_for(std::chrono::milliseconds(200));
    CHECK(requests == 1);
}

TEST_CASE("http_server gives requests that no route matches to the fallback, with all header fields")
{
    asio::io_context context;
    http_server server(context, {.listen = endpoint::parse("127.0.0.1:0"), .requestIdField = "Trace"});
    std::vector<http_field> fields;
    server.routeOthers([&](http_exchange &exchange) -> task<> {
        fields = exchange.fields();
        http_response answer{.body = exchange.method() + " " + exchange.target() + " " + exchange.requestId()};
        co_await exchange.respond(std::move(answer));
    });
    server.start();
    http_client client(context, {});
    http_response answer;
    asio::co_spawn(
        context,
        [&]() -> task<> {
            http_request request{.method = "PATCH", .target = "/a/b?c=d", .fields = {{"Trace", "t-1"}, {"Other", "x"}}};
            answer = co_await client.exchange(server.address(), std::move(request), generousTimeout);
            context.stop();
        },
        [](const std::exception_ptr &failure) {
            if (failure) {
                std::rethrow_exception(failure);
            }
        });
    context.run();
    CHECK(answer.body == "PATCH /a/b?c=d t-1");
    CHECK(answer.field("Trace") == "t-1");
    CHECK(std::find(fields.begin(), fields.end(), http_field{"Other", "x"}) != fields.end());
}

TEST_CASE("http_client keeps no more unused connections to an endpoint than it may")
{
    asio::io_context context;
    http_server server(context, {.listen = endpoint::parse("127.0.0.1:0")});
    int waiting = 0;
    server.routeOthers([&](http_exchange &exchange) -> task<> {
        ++waiting;
        while (waiting < 2) {
            co_await asio::post(context, asio::use_awaitable);
        }
        http_response answer;
        co_await exchange.respond(std::move(answer));
    });
    server.start();
    http_client client(context, {});
    client.setIdleConnectionsPerEndpoint(1);
    const auto exchangeTwice = [&] {
        waiting = 0;
        int done = 0;
        for (int number = 0; number < 2; ++number) {
            asio::co_spawn(
                context,
                [&]() -> task<> {
                    http_request request{.method = "GET", .target = "/any", .fields = {{"Host", "h"}}, .body = {}};
                    (void)co_await client.exchange(server.address(), std::move(request), std::chrono::seconds(10));
                    ++done;
                },
                asio::detached);
        }
        context.restart();
        while (done < 2) {
            context.run_one();
        }
    };
    exchangeTwice();
    CHECK(client.connectionsOpened() == 2);
    exchangeTwice();
    CHECK(client.connectionsOpened() == 3);
}

TEST_CASE("an answer to HEAD has no body, whatever its frame, and its connection goes on")
{
    server_fixture fixture;
    fixture.server.route("HEAD", "/whole", [](http_exchange &exchange) -> task<> {
        http_response answer{.body = "body"};
        co_await exchange.respond(std::move(answer));
    });
    fixture.server.route("HEAD", "/stream", [](http_exchange &exchange) -> task<> {
        std::vector<http_field> noFields;
        co_await exchange.begin(200, noFields);
        co_await exchange.write("one");
        co_await exchange.finish();
    });
    for (const std::string target : {"/whole", "/stream", "/unknown"}) {
        INFO(target);
        const std::string next = "GET /stream HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        const std::string answers = fixture.raw(std::string("HEAD ").append(target).append(" HTTP/1.1\r\nHost: h\r\n\r\n").append(next));
        const std::size_t headEnd = answers.find("\r\n\r\n") + 4;
        CHECK((answers.size() == headEnd || answers.compare(headEnd, 9, "HTTP/1.1 ") == 0));
        CHECK(answers.find("body") == std::string::npos);
    }
    CHECK(fixture.exchange({.method = "HEAD", .target = "/whole"}).body.empty());
    CHECK(fixture.exchange({.method = "HEAD", .target = "/stream"}).status == 200);
    CHECK(fixture.client.connectionsOpened() == 1);
}
