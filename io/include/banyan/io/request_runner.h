#pragma once

#include "banyan/io/asio_types.h"
#include "banyan/io/run_answer.h"
#include "banyan/io/run_cancellation.h"
#include "banyan/io/run_request.h"

#include <functional>
#include <memory>

namespace banyan {

/// Runs a request through routing and dispatch and returns its whole answer. Never throws: every end is a run_answer.
/// What batch jobs and recovery are given in order to run their items.
using request_runner = std::function<task<run_answer>(run_request, std::shared_ptr<run_cancellation>)>;

} // namespace banyan
