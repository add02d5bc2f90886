#pragma once

#include "banyan/core/attempt_id.h"
#include "banyan/core/final_result.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <optional>
#include <variant>
#include <vector>

namespace banyan {

/// Send the request to an upstream. The host reports dispatcher::attemptEnded() in every case.
struct start_attempt
{
    request_id request;
    attempt_id attempt;
    upstream_id upstream;
    duration timeout{}; ///< Longest time without any byte from the upstream.
    bool hedge = false; ///< Second attempt, concurrent with a slow first one.

    auto operator<=>(const start_attempt &) const = default;
};

/// Cancel an attempt: close its stream, then report attemptEnded() with Cancelled, or with its outcome if it ended before.
struct cancel_attempt
{
    attempt_id attempt;

    auto operator<=>(const cancel_attempt &) const = default;
};

/// Forward the bytes of this attempt to the caller and drop those of the others. Issued once per request, before any byte
/// is forwarded; a batch request's attempt is chosen only after it has succeeded.
struct choose_attempt
{
    request_id request;
    attempt_id attempt;

    auto operator<=>(const choose_attempt &) const = default;
};

/// The request has ended. With Completed, the chosen attempt's answer is complete; otherwise it is missing or truncated.
struct finish_request
{
    request_id request;
    final_result result;
    std::optional<attempt_id> attempt; ///< The attempt that gave the answer, with Completed.

    auto operator<=>(const finish_request &) const = default;
};

/// An action that the host of a dispatcher has to carry out.
using dispatch_action = std::variant<start_attempt, cancel_attempt, choose_attempt, finish_request>;
/// Actions in the order in which they have to be carried out.
using dispatch_actions = std::vector<dispatch_action>;

} // namespace banyan
