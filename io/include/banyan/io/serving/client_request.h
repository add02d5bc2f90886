#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/io/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// A client's request, read whole.
struct client_request
{
    request_id id; ///< Of this sending.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::vector<http_field> fields; ///< To be passed on to the upstream.
    std::string body;
    std::optional<duration> timeLeft; ///< For which the client waits, from arrivedAt on.
    std::optional<std::uint64_t> resumeAfter; ///< The client has a stream up to this event.
    std::uint64_t prefixHash = 0; ///< Of the prompt parts that it shares with others; 0 for none.
    time_point arrivedAt;
};

} // namespace banyan
