#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/http_exchange.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyan {

class client_memory;

/// Options of an http_server.
struct http_server_options
{
    endpoint listen; ///< Port 0 takes a free one.
    duration idleTimeout = std::chrono::seconds(75); ///< For the first byte of the next request on an open connection.
    duration headTimeout = std::chrono::seconds(10); ///< For a request's head to arrive.
    duration bodyTimeout = std::chrono::seconds(30); ///< Longest silence within a body.
    std::size_t maximumHead = std::size_t(16) << 10; ///< Bytes; a longer head is answered with 431.
    std::size_t maximumConnections = 20000; ///< At most; another one ends one that is outside a request, or is closed at once.
    client_memory *memory = nullptr; ///< Account of what is held for clients; must outlive the server. If null, nothing bounds the sum.
    std::string requestIdField = "X-Request-Id"; ///< Name of the header field with a request's id; sent back with answers.
};

/// Answers one kind of request. An exception that leaves it becomes 500 if nothing was answered.
using http_handler = std::function<task<>(http_exchange &)>;

/// An HTTP/1.1 server with routes.
///
/// @code
/// http_server server(context, {.listen = endpoint::parse("127.0.0.1:0")});
/// server.route("GET", "/v1/batches/{}", [&](http_exchange &exchange) -> task<> { ... });
/// server.start();
/// @endcode
class http_server
{
public:
    http_server(asio::io_context &context, const http_server_options &options);
    ~http_server();

    /// Adds a route; "{}" matches one part of the path, a "{*}" at the end matches the rest of it.
    void route(const std::string &method, const std::string &pattern, http_handler handler);

    /// Takes the requests that no route matches, with any method; without it they are answered with 404 or 405.
    void routeOthers(http_handler handler);

    /// Replaces the time limits and the limit of heads from now on; all else stays as it is.
    void setLimits(const http_server_options &options);

    /// Announces with each answer that its connection closes.
    void closeAfterAnswers();

    /// Begins to listen. @throws std::runtime_error if the address cannot be bound
    void start();

    /// Where it listens, with the real port.
    [[nodiscard]] endpoint address() const;

    /// Stops listening; requests in progress go on, idle connections are closed.
    void stopAccepting();

    /// Answers the requests whose bodies are not complete with 503, as not run. For servers whose handlers read whole bodies before
    /// they act on them.
    void refuseUnreadBodies();

    /// Clients that had to give way to others so far, and connections that were closed at once.
    [[nodiscard]] std::uint64_t turnedAway() const;

    /// Open connections.
    [[nodiscard]] std::size_t connections() const;

    /// Requests in progress.
    [[nodiscard]] std::size_t inProgress() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
