#pragma once

#include "banyan/core/cell_id.h"
#include "banyan/core/configuration_update.h"
#include "banyan/core/time.h"
#include "banyan/core/vm_entry.h"
#include "banyan/io/answer_sink.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/run_cancellation.h"
#include "banyan/io/run_outcome.h"
#include "banyan/io/run_request.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyan {

/// Runs a request in a cell to its end; never throws. cell_host::run() and peer_rpc::run() have this shape.
using cell_runner = std::function<task<run_outcome>(cell_id, run_request, answer_sink, std::shared_ptr<run_cancellation>)>;

/// What a node does for others. All are called on the Asio thread.
struct peer_handlers
{
    cell_runner run;
    std::function<configuration_update(configuration_version)> configurationSince;
    std::function<vm_list()> vmList; ///< The platform's list as it was read last.
    std::function<void(std::string recordKey, std::string result)> keepResult;
    std::function<void(std::string recordKey)> forgetResult;
    std::function<void(std::uint64_t fingerprint, duration remaining)> stopFingerprint;
    std::function<void()> onRefused; ///< A call came with a wrong secret.
};

} // namespace banyan
