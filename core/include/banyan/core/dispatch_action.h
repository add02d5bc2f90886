#pragma once

#include "banyan/core/attempt_id.h"
#include "banyan/core/final_result.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <optional>
#include <variant>
#include <vector>

namespace banyan {

/// Send the request to an upstream. Answer with dispatcher::attemptEnded() in every case.
struct start_attempt
{
    request_id request;
    attempt_id attempt;
    upstream_id upstream;
    duration timeout{}; ///< Longest time without any byte from the upstream.
    bool hedge = false; ///< A second attempt beside a slow first one.

    auto operator<=>(const start_attempt &) const = default;
};

/// Give up an attempt: close its stream, then report attemptEnded() with Cancelled (or how it ended before).
struct cancel_attempt
{
    attempt_id attempt;

    auto operator<=>(const cancel_attempt &) const = default;
};

/// From now on this attempt's bytes go to the caller; the others' are dropped. Issued once a request, before any
/// byte is passed on; a batch request's attempt is chosen only when it has succeeded.
struct choose_attempt
{
    request_id request;
    attempt_id attempt;

    auto operator<=>(const choose_attempt &) const = default;
};

/// The request has ended. With Completed, the chosen attempt's answer is complete; else there is none, or it was cut.
struct finish_request
{
    request_id request;
    final_result result;
    std::optional<attempt_id> attempt; ///< The attempt whose answer stands, with Completed.

    auto operator<=>(const finish_request &) const = default;
};

/// What the host of a dispatcher has to do, in order.
using dispatch_action = std::variant<start_attempt, cancel_attempt, choose_attempt, finish_request>;
using dispatch_actions = std::vector<dispatch_action>;

} // namespace banyan
