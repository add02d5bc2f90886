#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/caller_key.h"
#include "banyan/core/serving/key_digest.h"
#include "banyan/core/serving/request_size.h"
#include "banyan/core/time.h"
#include "banyan/io/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyan {

/// A client's request, including its complete body.
struct client_request
{
    request_id id; ///< Identifies this submission of the request.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::vector<http_field> fields; ///< Header fields to forward to the upstream.
    std::string body;
    std::optional<duration> timeLeft; ///< How long the client waits, counted from arrivedAt.
    std::optional<std::uint64_t> resumeAfter; ///< Last stream event that the client has received.
    std::optional<request_id> resumes; ///< Request that began the stream which this one takes up.
    std::uint64_t prefixHash = 0; ///< Hash of the prompt prefix shared with other requests; 0 if none.
    caller_id organisation; ///< Whose key the request has; empty if there is none.
    std::optional<key_digest> key; ///< The key under which the request runs; none if its route is public or no key is required.
    std::optional<std::uint32_t> priority; ///< Of the organisation; replaces the priority of the route.
    caller_key caller = 0; ///< Whose share of the upstreams the request uses.
    request_size size; ///< As the caller states it.
    time_point arrivedAt;
};

} // namespace banyan
