#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/serving/slot_message.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <functional>
#include <map>
#include <memory>

namespace banyan {

/// Options of a peer_exchange.
struct peer_exchange_options
{
    duration heartbeat = std::chrono::milliseconds(250); ///< Interval between reports while nothing changes.
};

/// Exchanges datagrams with the other gateways. Sends load reports to them on its own, and single messages on request.
class peer_exchange
{
public:
    using report_source = std::function<node_load()>;
    using message_handler = std::function<void(const gateway_message &message)>;

    peer_exchange(asio::io_context &context, const peer_exchange_options &options, report_source source, message_handler handler);
    ~peer_exchange();

    /// Binds the socket to @p listen and begins to send and receive. @throws std::runtime_error if the address cannot be bound
    void start(const endpoint &listen);

    /// Replaces the addresses of the other nodes. Until the next call, the source address of a received report replaces the
    /// address of its sender, and removes any other node at that address.
    void setPeers(const std::map<node_id, endpoint> &peers);

    /// Sets which nodes receive reports, and the shortest interval between two reports.
    void configureReports(std::function<bool(const node_id &peer)> reportsTo, duration shortestInterval);

    /// Sends a message to a node without waiting. The message may be lost. Returns false if the node is not known.
    bool send(const node_id &to, const gateway_message &message);
    /// Sends a message to all known nodes without waiting; it may be lost on the way to some of them.
    void sendToAll(const gateway_message &message);

    /// Requests a report soon, after this node's load has changed.
    void requestReport();

    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
