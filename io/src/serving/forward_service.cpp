#include "banyan/io/serving/forward_service.h"

#include "banyan/core/serving/replica.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_error.h"
#include "banyan/io/http_exchange.h"
#include "banyan/io/http_server.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/serving/upstream_paths.h"
#include "forward_protocol.h"

#include <optional>
#include <utility>

namespace banyan {

namespace {

constexpr std::size_t maximumHead = std::size_t(256) << 10; // Callers' heads are bounded by the gateway that took them.
constexpr duration idleTimeout = std::chrono::seconds(30);
constexpr duration patience = std::chrono::milliseconds(500); // Beyond the sender's timeouts, so that the sender's decide.
constexpr unsigned declinedStatus = 503;
constexpr unsigned lostStatus = 502;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;

/// How a request ended without an answer, unless the way to its upstream was lost.
forward_outcome outcomeOf(const http_error &error)
{
    if (error.staleConnection()) {
        return forward_outcome::Stale;
    }
    return error.timedOut() ? forward_outcome::TimedOut : forward_outcome::Lost;
}

http_response answerWith(forward_outcome outcome)
{
    return {.status = provesUnsent(outcome) ? declinedStatus : lostStatus, .fields = {fieldOf(outcome)}};
}

/// Counts a request while it is in progress.
class progress_guard
{
public:
    explicit progress_guard(std::size_t &counter)
        : m_counter(counter)
    {
        ++m_counter;
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

} // namespace

forward_service::forward_service(const forward_service_ports &ports, upstream_protocol protocol, const forward_service_options &options)
    : m_ports(ports)
    , m_protocol(std::move(protocol))
    , m_options(options)
    , m_server(std::make_unique<http_server>(ports.context,
                                             http_server_options{.listen = options.listen,
                                                                 .idleTimeout = idleTimeout,
                                                                 .maximumHead = maximumHead,
                                                                 .maximumConnections = options.maximumConnections,
                                                                 .memory = options.memory,
                                                                 // The id that an upstream names must pass unchanged.
                                                                 .requestIdField = "Banyan-Forward-Exchange"}))
{
    m_server->routeOthers([this](http_exchange &exchange) {
        return serve(exchange);
    });
}

forward_service::~forward_service() = default;

void forward_service::start()
{
    m_server->start();
}

endpoint forward_service::address() const
{
    return m_server->address();
}

std::optional<forward_service::refusal> forward_service::reasonToDecline(const forward_order &order) const
{
    const replica *const upstream = m_ports.find(order.upstream);
    if (m_shuttingDown) {
        return refusal{forward_outcome::Unable, "shutting_down"};
    }
    if (upstream == nullptr || upstream->startedAt != order.startedAt) {
        return refusal{forward_outcome::Declined, "not_registered"};
    }
    if (upstream->draining) {
        return refusal{forward_outcome::Declined, "draining"};
    }
    if (m_ports.paths.isLost(order.upstream)) {
        return refusal{unreachedOutcome(order.upstream), "unreachable"};
    }
    if (m_inProgress >= m_options.maximumRequests) {
        return refusal{forward_outcome::Unable, "too_many"};
    }
    return std::nullopt;
}

/// Tells an upstream that is down from a way to all upstreams that is lost.
forward_outcome forward_service::unreachedOutcome(const upstream_id &upstream) const
{
    return m_ports.paths.isLostAlone(upstream) ? forward_outcome::NotReached : forward_outcome::Unable;
}

task<> forward_service::decline(http_exchange &exchange, const std::optional<forward_order> &order, refusal why)
{
    m_ports.metrics.count("forward_declined");
    logEvent(log_level::Info,
             "forward_declined",
             {{"request_id", order ? order->run : ""},
              {"sender", order ? order->sender.text() : ""},
              {"upstream", order ? order->upstream.text() : ""},
              {"reason", std::string(why.reason)}});
    http_response response = answerWith(why.outcome);
    co_await exchange.respond(std::move(response));
}

task<> forward_service::serve(http_exchange &exchange)
{
    const std::optional<forward_order> order = orderOf(exchange.fields());
    std::optional<refusal> why = order ? reasonToDecline(*order) : refusal{forward_outcome::Declined, "no_order"};
    if (why) {
        co_await decline(exchange, order, *why);
        co_return;
    }
    const progress_guard guard(m_inProgress);
    std::string body = co_await exchange.body(m_options.maximumBody);
    why = reasonToDecline(*order); // The body may have taken long.
    if (why) {
        co_await decline(exchange, order, *why);
        co_return;
    }
    co_await forward(exchange, *order, std::move(body), m_ports.find(order->upstream)->address);
}

/// Sends the request to its upstream and passes the answer back.
task<> forward_service::forward(http_exchange &exchange, forward_order order, std::string body, endpoint address)
{
    const time_point begunAt = currentTime();
    http_request request{.method = exchange.method(), .target = exchange.target(), .fields = fieldsBeyondOrder(exchange.fields())};
    request.body = std::move(body);
    const auto cancellation = std::make_shared<http_cancellation>();
    exchange.onDisconnect([cancellation] {
        cancellation->cancel();
    });
    bool isSent = false;
    bool hangs = false;
    upstream_paths::watched_run watch(m_ports.paths, order.upstream, [&isSent, &hangs, cancellation, mayRepeat = order.mayRepeat] {
        if (!isSent || mayRepeat) {
            hangs = true;
            cancellation->cancel();
        }
    });
    unsigned status = 0;
    std::optional<http_response> bodiless; // An answer that has no body by its status.
    http_client::stream_handler handler;
    handler.idOf = m_protocol.answeredId;
    handler.onConnected = [&](bool isNew) {
        isSent = true;
        watch.connected(isNew);
    };
    handler.onHead = [&](const http_response_head &head) -> task<> {
        watch.heard();
        status = head.status;
        std::vector<http_field> fields = fieldsBeyondOrder(head.fields);
        fields.push_back(fieldOf(forward_outcome::Answered));
        if (!head.isFirstOnConnection) {
            fields.push_back(reusedMark());
        }
        if (status == noContent || status == notModified) {
            bodiless = http_response{.status = status, .fields = std::move(fields)};
            co_return;
        }
        co_await exchange.begin(status, std::move(fields), head.framing);
    };
    handler.onPiece = [&](std::string_view piece) -> task<> {
        watch.heard();
        co_await exchange.write(piece);
    };
    const http_client::stream_options options{
        .timeouts = {.firstByte = order.timeouts.firstByte + patience, .silence = order.timeouts.silence + patience},
        .cancellation = cancellation,
        .choice = order.onNewConnection ? connection_choice::New : connection_choice::IdleOrNew,
        .id = order.run};
    std::string failure;
    std::optional<forward_outcome> unanswered;
    try {
        co_await m_ports.client.stream(address, std::move(request), std::move(handler), options);
    } catch (const http_error &error) {
        failure = error.what();
        if (!cancellation->cancelled()) {
            watch.failed(error);
        }
        if (error.sent() == sent_state::NotSent) {
            unanswered = hangs ? forward_outcome::Unable : unreachedOutcome(order.upstream);
        } else if (status == 0) {
            unanswered = hangs ? forward_outcome::PathLost : outcomeOf(error);
        }
    }
    m_ports.metrics.count("forward_ended");
    logEvent(log_level::Info,
             "forward_ended",
             {{"request_id", order.run},
              {"sender", order.sender.text()},
              {"upstream", order.upstream.text()},
              {"status", std::to_string(status)},
              {"error", failure},
              {"taken_us", std::to_string((currentTime() - begunAt).count())}});
    if (unanswered) {
        http_response response = answerWith(*unanswered);
        co_await exchange.respond(std::move(response));
    } else if (failure.empty() && bodiless) {
        co_await exchange.respond(std::move(*bodiless));
    } else if (failure.empty()) {
        co_await exchange.finish();
    } // Else the connection ends without the end of the answer, so that it does not look complete.
}

} // namespace banyan
