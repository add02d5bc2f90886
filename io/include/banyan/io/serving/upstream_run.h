#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/io/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// One attempt at one upstream.
struct upstream_run
{
    request_id id;
    upstream_id upstream; ///< Any other upstream at the address must not run it.
    std::uint64_t startedAt = 0; ///< Of the upstream, by its registration.
    endpoint address;
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::vector<http_field> fields; ///< As the client sent them, without those of its connection.
    std::string body;
    std::optional<std::uint64_t> resumeAfter; ///< Last event of a stream that the client or this node has.
    std::optional<duration> timeLeft; ///< For the whole answer.
    bool onNewConnection = false; ///< So that a loss cannot come from an idle connection that the upstream has closed.
};

} // namespace banyan
