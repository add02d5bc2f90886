#pragma once

#include "banyan/core/cell_id.h"
#include "banyan/io/answer_sink.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/run_cancellation.h"
#include "banyan/io/run_outcome.h"
#include "banyan/io/run_request.h"

#include <functional>
#include <memory>

namespace banyan {

class record_service;

/// Runs a request in a cell of this node, see cell_host::run().
using cell_runner = std::function<task<run_outcome>(cell_id, run_request, answer_sink, std::shared_ptr<run_cancellation>)>;

/// Runs a request for another node. A recorded one that is not to be repeated goes on when that node is gone, and its
/// result is committed here before it is passed on, so that the loss of the node that accepted it costs nothing. Others
/// are run as they are.
[[nodiscard]] task<run_outcome> runForPeer(cell_runner run,
                                           record_service &records,
                                           cell_id cell,
                                           run_request request,
                                           answer_sink sink,
                                           std::shared_ptr<run_cancellation> cancellation);

} // namespace banyan
