#pragma once

#include "banyan/io/http_message.h"

#include <vector>

namespace banyan {

/// What an upstream's answer says of its run.
enum class answer_kind {
    Success, ///< It ran; the answer is the client's.
    Failure, ///< It ran and failed; the answer may be passed on.
    Rejection, ///< It ran, or was found to be impossible: another run would end the same. The answer is the client's.
    NotRun, ///< The upstream says that it did not run the request.
    WrongUpstream, ///< Another upstream has the address; it did not run the request.
    Unusable, ///< Not a proper answer to this request; it may have run.
};

/// The head of an upstream's answer.
struct answer_head
{
    answer_kind kind = answer_kind::Unusable;
    unsigned status = 0;
    std::vector<http_field> fields; ///< To be passed on.
    bool upstreamLeaves = false; ///< It says that it is about to end and takes no new work.
    bool isEventStream = false;
};

} // namespace banyan
