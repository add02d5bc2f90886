#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/final_result.h"
#include "banyan/core/identifier.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/time.h"

#include <compare>
#include <variant>

namespace banyan {

/// Asks the node that places a cell's requests for a slot. Sent again while the run waits.
struct slot_claim
{
    node_id sender;
    slot_request request; ///< Its times are those of the node that reads the message.

    auto operator<=>(const slot_claim &) const = default;
};

/// What became of a claim.
enum class claim_state {
    Waiting, ///< No slot yet.
    Granted,
    Rejected,
    Reclaimed, ///< The slot that was granted is needed: the run has to stop.
};

/// Answers a claim, or takes a slot back.
struct slot_verdict
{
    request_id request;
    claim_state state = claim_state::Waiting;
    upstream_id upstream; ///< With Granted.
    end_reason reason = end_reason::None; ///< With Refused.
    duration retryAfter{}; ///< With Refused.

    auto operator<=>(const slot_verdict &) const = default;
};

/// Gives a slot back, or gives a claim up.
struct slot_release
{
    node_id sender;
    request_id request;
    attempt_outcome outcome = attempt_outcome::Cancelled;

    auto operator<=>(const slot_release &) const = default;
};

/// Tells that the answer to a run has begun.
struct slot_progress
{
    node_id sender;
    request_id request;
    duration firstByte{}; ///< From the grant on.

    auto operator<=>(const slot_progress &) const = default;
};

/// What gateways tell each other.
using gateway_message = std::variant<node_load, slot_claim, slot_verdict, slot_progress, slot_release>;

} // namespace banyan
