#include "banyan/io/client_memory.h"
#include "banyan/io/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <stdexcept>
#include <string>
#include <vector>

using namespace banyan;
using asio::ip::tcp;

namespace {

constexpr std::size_t bodyLimit = 200000;
constexpr std::chrono::seconds longestRun(30);

/// How a client's exchange comes to its end.
enum class ending {
    Finished,
    CutBody,
    CutAnswer,
    HandlerFails,
};

struct played_client
{
    ending ends = ending::Finished;
    std::size_t length = 0; ///< Of the body; also over the limit.
    std::size_t sent = 0; ///< Of it, if the body is cut.
};

task<> play(asio::io_context &context, tcp::endpoint to, played_client client, std::size_t &left)
{
    tcp::socket socket(context);
    boost::system::error_code error;
    co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
    std::string request = std::string("POST /") + (client.ends == ending::HandlerFails ? "failing" : "echo")
                          + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(client.length) + "\r\n\r\n";
    request.append(client.ends == ending::CutBody ? client.sent : client.length, 'x');
    co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    std::string answer;
    if (client.ends == ending::CutAnswer) {
        co_await asio::async_read(
            socket, asio::dynamic_buffer(answer), asio::transfer_at_least(1), asio::redirect_error(asio::use_awaitable, error));
    } else if (client.ends != ending::CutBody) {
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    }
    socket.close(error);
    --left;
}

void addRoutes(http_server &server)
{
    server.route("POST", "/echo", [](http_exchange &exchange) -> task<> {
        http_response answer;
        answer.body = co_await exchange.body(bodyLimit);
        co_await exchange.respond(std::move(answer));
    });
    server.route("POST", "/failing", [](http_exchange &exchange) -> task<> {
        (void)co_await exchange.body(bodyLimit);
        throw std::runtime_error("fails on purpose");
    });
}

std::vector<played_client> playedClients()
{
    std::vector<played_client> result(*rc::gen::inRange(1, 6));
    for (played_client &client : result) {
        client.ends = *rc::gen::element(ending::Finished, ending::CutBody, ending::CutAnswer, ending::HandlerFails);
        client.length = *rc::gen::inRange<std::size_t>(0, bodyLimit * 3 / 2);
        client.sent = *rc::gen::inRange<std::size_t>(0, client.length + 1);
    }
    return result;
}

} // namespace

TEST_CASE("http_server gives back all that it held for a client, however its exchange ends")
{
    rc::prop("nothing is held after the last connection", [] {
        client_memory memory({.capacity = *rc::gen::element<std::size_t>(100000, 500000, 0), .reserve = 20000});
        asio::io_context context;
        http_server server(context, {.listen = endpoint::parse("127.0.0.1:0"), .memory = &memory});
        addRoutes(server);
        server.start();
        const std::vector<played_client> clients = playedClients();
        std::size_t left = clients.size();
        for (const played_client &client : clients) {
            asio::co_spawn(
                context, play(context, {asio::ip::make_address("127.0.0.1"), server.address().port}, client, left), asio::detached);
        }
        const auto end = std::chrono::steady_clock::now() + longestRun;
        while ((left > 0 || server.connections() > 0) && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(100));
        }
        RC_ASSERT(left == 0U);
        RC_ASSERT(server.connections() == 0U);
        RC_ASSERT(memory.budget().used() == 0U);
    });
}
