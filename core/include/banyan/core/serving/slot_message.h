#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/final_result.h"
#include "banyan/core/identifier.h"
#include "banyan/core/serving/credit_message.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/origin_query.h"
#include "banyan/core/serving/origin_row.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/time.h"

#include <compare>
#include <string>
#include <variant>

namespace banyan {

/// Requests a slot from the scheduling node of a cell. Sent again while the run waits.
struct slot_claim
{
    node_id sender;
    slot_request request; ///< Its time points are in the clock of the node that reads the message.

    auto operator<=>(const slot_claim &) const = default;
};

/// The state of a claim at the scheduling node.
enum class claim_state {
    Waiting, ///< No slot yet.
    Granted,
    Rejected,
    Reclaimed, ///< The granted slot is needed for online work: the run must be cancelled.
};

/// Answers a claim, or reclaims a granted slot.
struct slot_verdict
{
    request_id request;
    claim_state state = claim_state::Waiting;
    upstream_id upstream; ///< Set with Granted.
    std::string version; ///< The upstream's software version. Set with Granted.
    end_reason reason = end_reason::None; ///< Set with Rejected.
    duration retryAfter{}; ///< Set with Rejected.

    auto operator<=>(const slot_verdict &) const = default;
};

/// Releases a slot, or cancels a claim that still waits.
struct slot_release
{
    node_id sender;
    request_id request;
    attempt_outcome outcome = attempt_outcome::Cancelled;

    auto operator<=>(const slot_release &) const = default;
};

/// Reports that the first byte of a run's answer has arrived, or that the run has begun a stream.
struct slot_progress
{
    node_id sender;
    request_id request;
    duration firstByte{}; ///< Time from the grant to the first byte.
    bool hasBegunStream = false; ///< The client has got an event of the stream.

    auto operator<=>(const slot_progress &) const = default;
};

/// A message between two gateways. An origin_row answers an origin_query, a credit_grant a credit_ask.
using gateway_message =
    std::variant<node_load, slot_claim, slot_verdict, slot_progress, slot_release, origin_query, origin_row, credit_ask, credit_grant>;

} // namespace banyan
