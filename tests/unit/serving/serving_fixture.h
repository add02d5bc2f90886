#pragma once

#include "memory_store.h"
#include "serving/organisation_gate.h"

#include "banyan/core/serving/route_table.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_exchange.h"
#include "banyan/io/http_server.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/serving/part_watch.h"
#include "banyan/io/serving/request_relay.h"
#include "banyan/io/serving/scheduler_host.h"
#include "banyan/io/serving/slot_broker.h"
#include "banyan/io/serving/upstream_sender.h"
#include "request_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyan::tests {

inline constexpr duration generousTime = std::chrono::seconds(20);

/// An upstream that answers by a script and records the requests that reached it.
struct scripted_upstream
{
    using script = std::function<task<>(http_exchange &exchange)>;

    /// Answers carry the request id in field @p idField.
    scripted_upstream(asio::io_context &context, std::string name, script answer, const std::string &idField = "Request-Id")
        : id(std::move(name))
        , server(context, {.listen = endpoint::parse("127.0.0.1:0"), .requestIdField = idField})
    {
        server.routeOthers([this, answer = std::move(answer)](http_exchange &exchange) -> task<> {
            requests.push_back({.method = exchange.method(), .target = exchange.target(), .fields = exchange.fields(), .body = {}});
            requests.back().body = co_await exchange.body(1U << 20U);
            co_await answer(exchange);
        });
        server.start();
    }

    [[nodiscard]] replica info(const std::string &service) const
    {
        return {.id = upstream_id(id), .service = service_name(service), .address = server.address(), .softwareVersion = "v1", .slots = 4};
    }

    std::string id;
    http_server server;
    std::vector<http_request> requests;
};

/// The serving layer of one node. Messages to other nodes are passed to onSend, or dropped if it is null.
struct serving_node
{
    serving_node(asio::io_context &context, const std::string &name)
        : id(name)
        , scheduler(context, {.self = id}, board)
        , slots({.context = context,
                 .scheduler = scheduler,
                 .board = board,
                 .send =
                     [this](const node_id &to, const gateway_message &message) {
                         sentTo.push_back(to);
                         if (onSend) {
                             onSend(message);
                         }
                         return static_cast<bool>(onSend);
                     }},
                id,
                failure_domain("d"))
        , client(context, {})
        , sender(client, platform::makeProtocol())
        , parts(metrics)
        , limits({.context = context,
                  .metrics = metrics,
                  .self = id,
                  .send =
                      [this](const node_id &, const gateway_message &message) {
                          if (onSend) {
                              onSend(message);
                          }
                          return static_cast<bool>(onSend);
                      }},
                 {})
        , relay({.context = context,
                 .slots = slots,
                 .sender = sender,
                 .parts = parts,
                 .metrics = metrics,
                 .maySend =
                     [this](const key_digest &, const caller_id &, time_point) {
                         return keysAreValid;
                     },
                 .limits = &limits},
                platform::makeProtocol())
    {
    }

    node_id id;
    std::function<void(const gateway_message &message)> onSend;
    bool keysAreValid = true; ///< Whether the relay may send requests under keys.
    std::vector<node_id> sentTo; ///< Receiver of each message.
    load_board board{std::chrono::seconds(2)};
    scheduler_host scheduler;
    slot_broker slots;
    http_client client;
    upstream_sender sender;
    node_metrics metrics;
    part_watch parts;
    organisation_gate limits;
    request_relay relay;
};

/// Nodes in one thread, with scripted upstreams and a store in memory.
struct serving_fixture
{
    asio::io_context context;
    memory_store store{context};
    std::vector<std::unique_ptr<serving_node>> nodes;
    std::vector<replica> upstreams;

    serving_fixture()
    {
        addNode();
    }

    /// Adds a node that knows the same upstreams.
    serving_node &addNode()
    {
        nodes.push_back(std::make_unique<serving_node>(context, "n" + std::to_string(nodes.size() + 1)));
        nodes.back()->scheduler.setUpstreams(upstreams);
        return *nodes.back();
    }

    /// Records load reports of so many other nodes at @p node that one of them schedules all its requests.
    static void recordOtherNodes(serving_node &node)
    {
        for (int number = 0; number < 50; ++number) {
            node.board.record({.sender = node_id("other-" + std::to_string(number)), .sequence = 1}, currentTime());
        }
    }

    /// Runs a coroutine until it has finished and rethrows its exception.
    void run(const std::function<task<>()> &work)
    {
        bool done = false;
        std::exception_ptr failure;
        asio::co_spawn(context, work(), [&](const std::exception_ptr &thrown) {
            done = true;
            failure = thrown;
        });
        context.restart();
        while (!done) {
            context.run_one();
        }
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    task<> sleep(duration time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    void setUpstreams(const std::vector<const scripted_upstream *> &scripted)
    {
        upstreams.clear();
        for (const scripted_upstream *const upstream : scripted) {
            upstreams.push_back(upstream->info("s"));
        }
        for (const auto &node : nodes) {
            node->scheduler.setUpstreams(upstreams);
        }
    }
};

/// A complete answer with the field that marks it as an answer of an upstream.
inline http_response upstreamAnswer(unsigned status, std::string body)
{
    return {.status = status, .fields = {{"Response-Stamp", "stamp"}}, .body = std::move(body)};
}

inline std::string eventText(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: piece-" + std::to_string(id) + "\n\n";
}

} // namespace banyan::tests
