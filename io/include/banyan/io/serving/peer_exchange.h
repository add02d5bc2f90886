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
    endpoint listen;
    duration heartbeat = std::chrono::milliseconds(250); ///< Without a change a report is sent after this time.
};

/// Exchanges datagrams with the other gateways: reports of this node's work by itself, and messages to one.
class peer_exchange
{
public:
    using report_source = std::function<node_load()>;
    using message_handler = std::function<void(const gateway_message &message)>;

    peer_exchange(asio::io_context &context, const peer_exchange_options &options, report_source source, message_handler handler);
    ~peer_exchange();

    /// Binds the socket and begins to send and receive. @throws std::runtime_error if the address cannot be bound
    void start();

    /// Where it receives, with the real port.
    [[nodiscard]] endpoint address() const;

    /// Replaces the other nodes. One whose reports come from another address, or from the address of another node, is known
    /// by what its reports say until the next call.
    void setPeers(const std::map<node_id, endpoint> &peers);

    /// Replaces to which of them reports are sent, and the least time between two.
    void configureReports(std::function<bool(const node_id &peer)> reportsTo, duration shortestInterval);

    /// Sends a message to one of them, without waiting. It may be lost. Returns false if the node is not known.
    bool send(const node_id &to, const gateway_message &message);

    /// The work has changed: a report follows soon.
    void requestReport();

    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
