#pragma once

#include "banyan/core/final_result.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <optional>
#include <variant>
#include <vector>

namespace banyan {

/// Send the run to this upstream, and report its end.
struct slot_granted
{
    request_id request;
    upstream_id upstream;

    auto operator<=>(const slot_granted &) const = default;
};

/// There is no place in time: the run is not sent.
struct slot_refused
{
    request_id request;
    end_reason reason = end_reason::Overloaded;
    duration retryAfter{}; ///< When to come back.

    auto operator<=>(const slot_refused &) const = default;
};

/// Stop a batch run, since online work needs its place, and report its end.
struct slot_reclaimed
{
    request_id request;

    auto operator<=>(const slot_reclaimed &) const = default;
};

/// What the host of a request_scheduler has to do, in order.
using slot_action = std::variant<slot_granted, slot_refused, slot_reclaimed>;
using slot_actions = std::vector<slot_action>;

} // namespace banyan
