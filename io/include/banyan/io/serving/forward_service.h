#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/http_client.h"
#include "banyan/io/serving/upstream_protocol.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

class client_memory;
class http_exchange;
class http_server;
class node_metrics;
class upstream_paths;
enum class forward_outcome;
struct forward_order;
struct replica;

/// Dependencies of a forward_service; all of them must outlive it.
struct forward_service_ports
{
    asio::io_context &context;
    http_client &client; ///< Towards upstreams.
    upstream_paths &paths;
    node_metrics &metrics;
    std::function<const replica *(const upstream_id &upstream)> find; ///< A registered upstream; null if it is not.
};

/// Options of a forward_service.
struct forward_service_options
{
    endpoint listen; ///< Port 0 takes a free one.
    std::size_t maximumRequests = 256; ///< In progress; more are declined.
    std::size_t maximumConnections = 20000;
    std::size_t maximumBody = std::size_t(64) << 20; ///< Bytes of a request's body.
    client_memory *memory = nullptr; ///< Account of what is held; must outlive the service. If null, nothing bounds it.
};

/// Sends requests of other gateways to upstreams that those do not reach, and passes the answers back as they come.
///
/// The gateway that a caller reached keeps all decisions: the slot, limits, keys, retries and the deadline. This one only decides whether it can help.
/// A request is declined, at once, unless its upstream is registered here and not draining, and this gateway reaches it. A request is
/// never handed on to a third gateway.
class forward_service
{
public:
    forward_service(const forward_service_ports &ports, upstream_protocol protocol, const forward_service_options &options);
    ~forward_service();

    /// Begins to listen. @throws std::runtime_error if the address cannot be bound
    void start();

    /// Where it listens, with the real port.
    [[nodiscard]] endpoint address() const;

    /// Requests in progress.
    [[nodiscard]] std::size_t inProgress() const
    {
        return m_inProgress;
    }

    /// Declines requests from now on.
    void beginShutdown()
    {
        m_shuttingDown = true;
    }

private:
    task<> serve(http_exchange &exchange);
    /// What the sender of an order is told, and why.
    struct refusal
    {
        forward_outcome outcome;
        std::string_view reason;
    };
    [[nodiscard]] std::optional<refusal> reasonToDecline(const forward_order &order) const;
    [[nodiscard]] forward_outcome unreachedOutcome(const upstream_id &upstream) const;
    task<> decline(http_exchange &exchange, const std::optional<forward_order> &order, refusal why);
    task<> forward(http_exchange &exchange, forward_order order, std::string body, endpoint address);

    forward_service_ports m_ports;
    upstream_protocol m_protocol;
    forward_service_options m_options;
    std::unique_ptr<http_server> m_server;
    std::size_t m_inProgress = 0;
    bool m_shuttingDown = false;
};

} // namespace banyan
