#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/node_settings.h"

#include <memory>

namespace banyan {

/// A whole banyand: everything between callers and upstreams on one VM.
///
/// @code
/// asio::io_context context;
/// banyan_node node(context, readSettings("banyand.yaml"));
/// node.start();
/// // at SIGTERM: co_await node.stop();
/// context.run();
/// @endcode
class banyan_node
{
public:
    banyan_node(asio::io_context &context, node_settings settings);
    ~banyan_node();

    /// Binds its addresses and begins to work. @throws std::runtime_error if an address cannot be bound
    void start();

    /// Planned stop: not ready any more, waiting work is handed on, work in progress is finished, records and jobs are
    /// committed and given back. Ends after the drain timeout at the latest.
    [[nodiscard]] task<> stop();

    /// Where it listens, with the real ports; after start().
    [[nodiscard]] endpoint callerAddress() const;
    [[nodiscard]] endpoint operatorAddress() const;
    [[nodiscard]] endpoint peerAddress() const;

    /// Calls @p handler when an operator asks for a planned stop.
    void onDrainRequested(std::function<void()> handler);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
