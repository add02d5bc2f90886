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
    upstream_id upstream; ///< The intended upstream; another one at the same address must reject the run.
    std::uint64_t startedAt = 0; ///< Start time of the upstream's incarnation, from its registration.
    endpoint address;
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    caller_id organisation; ///< Whose request it is; empty if that is not known. The upstream is told.
    std::vector<http_field> fields; ///< Fields sent by the client, without hop-by-hop fields.
    std::string body;
    std::optional<std::uint64_t> resumeAfter; ///< Last stream event already received by the client or this node; the run resumes after it.
    std::optional<duration> timeLeft; ///< Time left until the whole answer is due.
    bool mayRepeat = false; ///< Another attempt may follow one that hangs on a lost path.
    bool onNewConnection = false; ///< Excludes idle connections that the upstream may have closed as the cause of a loss.
};

} // namespace banyan
