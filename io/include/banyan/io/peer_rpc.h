#pragma once

#include "banyan/core/cell_id.h"
#include "banyan/core/configuration_update.h"
#include "banyan/core/endpoint.h"
#include "banyan/core/time.h"
#include "banyan/core/vm_entry.h"
#include "banyan/io/answer_sink.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/run_cancellation.h"
#include "banyan/io/run_outcome.h"
#include "banyan/io/run_request.h"

#include <memory>
#include <string>

namespace banyan {

struct peer_handlers;

/// Options of a peer_rpc.
struct peer_rpc_options
{
    endpoint listen; ///< TCP; port 0 takes a free one.
    std::string secret; ///< Sent with each call; calls with another one are refused.
    duration connectTimeout = std::chrono::seconds(2);
    duration callTimeout = std::chrono::seconds(5); ///< For calls other than run().
};

/// Cap'n Proto RPC between the nodes of a fleet, in both directions.
///
/// The RPC library has an event loop of its own, which runs in one thread of this class. All functions and handlers are
/// used on the Asio thread. Connections are opened on demand and reused.
class peer_rpc
{
public:
    class implementation;

    peer_rpc(asio::io_context &context, const peer_rpc_options &options);
    ~peer_rpc();

    /// Begins to serve @p handlers. @throws std::runtime_error if the address cannot be bound
    void start(peer_handlers handlers);

    /// Where it listens, with the real port; after start().
    [[nodiscard]] endpoint address() const;

    /// Runs a request in a cell that the node at @p to owns.
    /// @throws peer_error if the connection cannot be made or breaks
    [[nodiscard]] task<run_outcome>
    run(endpoint to, cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation);

    /// Asks a node for what came after @p version. @throws peer_error
    [[nodiscard]] task<configuration_update> configurationSince(endpoint to, configuration_version version);

    /// Asks a node for the platform's list as it read it last. @throws peer_error
    [[nodiscard]] task<vm_list> vmList(endpoint to);

    /// Has a node hold a result that the store does not take now. @throws peer_error
    [[nodiscard]] task<> keepResult(endpoint to, std::string recordKey, std::string result);

    /// Has a node drop a held result. @throws peer_error
    [[nodiscard]] task<> forgetResult(endpoint to, std::string recordKey);

    /// Has a node refuse requests of a content that crashes upstreams. @throws peer_error
    [[nodiscard]] task<> stopFingerprint(endpoint to, std::uint64_t fingerprint, duration remaining);

    /// Ends all calls to a node that is lost; they throw peer_error.
    void drop(const endpoint &to);

    /// Stops serving and ends all calls.
    void stop();

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
