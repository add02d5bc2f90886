#pragma once

#include "banyan/core/final_result.h"
#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace banyan {

/// Send the run to this upstream, and report its end.
struct slot_granted
{
    request_id request;
    upstream_id upstream;
    node_id schedulingNode = {}; ///< The node that granted it; set between nodes.

    auto operator<=>(const slot_granted &) const = default;
};

/// What a refusal was decided by.
struct rejection_basis
{
    std::uint32_t waiting = 0; ///< Runs of the cell that waited for a slot and could be on time.
    std::uint32_t slots = 0; ///< Of the cell's upstreams that take work.
    duration expectedWait{};
    duration firstByte{}; ///< That most runs keep to.

    auto operator<=>(const rejection_basis &) const = default;
};

/// There is no place in time: the run is not sent.
struct slot_rejected
{
    request_id request;
    end_reason reason = end_reason::Overloaded;
    duration retryAfter{}; ///< When to come back.
    rejection_basis basis{}; ///< Known where it was decided.

    auto operator<=>(const slot_rejected &) const = default;
};

/// An upstream gets no more work for a while, since it failed or was much slower than the others.
struct upstream_ejected
{
    upstream_id upstream;
    bool forSlowness = false;

    auto operator<=>(const upstream_ejected &) const = default;
};

/// Stop a batch run, since online work needs its place, and report its end.
struct slot_reclaimed
{
    request_id request;

    auto operator<=>(const slot_reclaimed &) const = default;
};

/// What the host of a request_scheduler has to do, in order.
using slot_action = std::variant<slot_granted, slot_rejected, slot_reclaimed, upstream_ejected>;
using slot_actions = std::vector<slot_action>;

} // namespace banyan
