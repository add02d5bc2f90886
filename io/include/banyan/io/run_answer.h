#pragma once

#include "banyan/core/final_result.h"
#include "banyan/io/http_message.h"

namespace banyan {

/// How a request ended and, if an upstream answered, its answer.
struct run_answer
{
    final_result result;
    http_response response; ///< Of the upstream, with Completed; else unset.

    auto operator<=>(const run_answer &) const = default;
};

} // namespace banyan
