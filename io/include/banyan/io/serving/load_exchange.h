#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <functional>
#include <memory>
#include <vector>

namespace banyan {

/// Options of a load_exchange.
struct load_exchange_options
{
    endpoint listen;
    duration heartbeat = std::chrono::milliseconds(400); ///< Without a change a report is sent after this time.
    duration shortestInterval = std::chrono::milliseconds(20); ///< Between two reports; grows with the number of peers.
    duration intervalPerPeer = std::chrono::microseconds(1500); ///< Bounds the datagrams that a node sends and receives in a second.
};

/// Tells the other nodes of this node's work, by datagrams, and takes in what they tell.
class load_exchange
{
public:
    using report_source = std::function<node_load()>;
    using report_handler = std::function<void(const node_load &load)>;

    load_exchange(asio::io_context &context, const load_exchange_options &options, report_source source, report_handler handler);
    ~load_exchange();

    /// Binds the socket and begins to send and receive. @throws std::runtime_error if the address cannot be bound
    void start();

    /// Replaces the addresses of the other nodes.
    void setPeers(std::vector<endpoint> peers);

    /// The work has changed: a report follows soon.
    void changed();

    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
