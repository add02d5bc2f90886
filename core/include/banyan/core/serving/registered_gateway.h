#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/transaction.h"

#include <compare>

namespace banyan {

/// A gateway's row in the store, as far as it matters for finding out whether the gateway lives.
struct registered_gateway
{
    node_id node;
    row_version version = 0;
    bool answersCalls = false; ///< Its build answers calls, see registration_monitor.
    node_id calledBy; ///< The node that has called it; empty if no call is unanswered.

    auto operator<=>(const registered_gateway &) const = default;
};

} // namespace banyan
