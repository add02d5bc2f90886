#pragma once

#include "banyan/io/asio_types.h"
#include "banyan/io/http_message.h"

#include <functional>
#include <string>
#include <vector>

namespace banyan {

/// Receives an upstream's answer as it comes. Each task ends when the next call may follow, so that a slow reader slows
/// the sender down. An exception from a task means that the reader has gone.
struct answer_sink
{
    std::function<task<>(unsigned status, std::vector<http_field> fields)> head; ///< Called at most once.
    std::function<task<>(std::string piece)> piece;
};

} // namespace banyan
