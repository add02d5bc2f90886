#pragma once

#include "banyan/core/final_result.h"
#include "banyan/core/serving/request_size.h"
#include "banyan/io/http_message.h"
#include "banyan/io/serving/answer_head.h"
#include "banyan/io/serving/upstream_run.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyan {

/// Encoding and decoding of messages to upstreams and clients; supplied by the adapter of a platform.
struct upstream_protocol
{
    /// Builds the HTTP request that starts @p run at its upstream.
    std::function<http_request(const upstream_run &run)> encodeRun;
    /// The id of the request that an answer names; empty if it names none.
    std::function<std::string(const http_response_head &head)> answeredId;
    /// Interprets the head of the answer to @p run.
    std::function<answer_head(const http_response_head &head, const upstream_run &run)> decodeHead;
    /// Hashes of the ids of the prompt parts that a request with these fields may share with others.
    std::function<std::vector<std::uint64_t>(const std::vector<http_field> &fields)> sharedParts;
    /// The size that a request with these fields states.
    std::function<request_size(const std::vector<http_field> &fields)> statedSize;
    /// Builds the answer to a client whose request has ended without an answer from an upstream.
    std::function<http_response(const final_result &result)> encodeEnd;
};

} // namespace banyan
