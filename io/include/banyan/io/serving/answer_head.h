#pragma once

#include "banyan/core/serving/rate_statement.h"
#include "banyan/io/http_message.h"

#include <vector>

namespace banyan {

/// Meaning of an upstream's answer for its run.
enum class answer_kind {
    Success, ///< The request ran; the answer is forwarded to the client.
    Failure, ///< The request ran and failed; the answer may be forwarded.
    Rejection, ///< The request ran or cannot run, and a retry would end the same way. The answer is forwarded to the client.
    NotRun, ///< The upstream reports that it did not run the request.
    WrongUpstream, ///< Another upstream now has the address; it did not run the request.
    Unusable, ///< Not a valid answer to this request, which may have run.
};

/// The head of an upstream's answer.
struct answer_head
{
    answer_kind kind = answer_kind::Unusable;
    unsigned status = 0;
    std::vector<http_field> fields; ///< Header fields to forward to the client.
    bool upstreamLeaves = false; ///< The upstream reports that it is about to shut down and accepts no new work.
    rate_statement rate; ///< What the upstream says about the rate of requests that it accepts.
    bool isEventStream = false;
    answer_framing framing = answer_framing::Length;
};

} // namespace banyan
