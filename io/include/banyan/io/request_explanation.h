#pragma once

#include "banyan/core/identifier.h"
#include "banyan/io/explanation_step.h"

#include <compare>
#include <string>
#include <vector>

namespace banyan {

/// What was done with one request: the upstreams that were tried, and each decision with its reason and time.
struct request_explanation
{
    request_id id;
    caller_id caller;
    service_name service;
    std::string result; ///< How it ended; empty while it runs.
    std::vector<explanation_step> steps; ///< In order of time.

    auto operator<=>(const request_explanation &) const = default;
};

} // namespace banyan
