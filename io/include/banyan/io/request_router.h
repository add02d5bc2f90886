#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/node_info.h"
#include "banyan/core/vm_entry.h"
#include "banyan/io/answer_sink.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/peer_handlers.h"
#include "banyan/io/request_runner.h"
#include "banyan/io/run_cancellation.h"
#include "banyan/io/run_outcome.h"
#include "banyan/io/run_request.h"

#include <functional>
#include <memory>
#include <vector>

namespace banyan {

/// Options of a request_router.
struct request_router_options
{
    node_info self;
    cell_runner runHere; ///< Runs a request in a cell of this node.
    std::function<task<run_outcome>(node_info, cell_id, run_request, answer_sink, std::shared_ptr<run_cancellation>)>
        runAt; ///< At another node; throws peer_error.
    std::uint64_t seed = 1;
};

/// The entry node's side of a request: finds a cell and the node that owns it, and tries another one where that is safe.
///
/// A request goes on to another cell or node only if for sure no upstream ran it, or if it may be repeated and nothing
/// of its answer has been passed on.
class request_router
{
public:
    request_router(asio::io_context &context, request_router_options options);
    ~request_router();

    /// Takes over which nodes may own cells and which upstreams there are.
    void setView(const vm_list &vms, std::vector<node_info> nodes);

    /// Runs a request to its end and passes its answer on as it comes. Never throws.
    [[nodiscard]] task<run_outcome> run(run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation);

    /// Runs a request to its end and returns the whole answer. Never throws.
    [[nodiscard]] task<run_answer> runWhole(run_request request, std::shared_ptr<run_cancellation> cancellation);

    /// runWhole() as the function that batch jobs and recovery are given. This object must outlive its use.
    [[nodiscard]] request_runner runner();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
