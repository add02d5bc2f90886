#pragma once

#include "banyan/core/final_result.h"
#include "banyan/core/identifier.h"
#include "banyan/core/serving/caller_key.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyan {

/// The run has a slot: send it to this upstream and report its end.
struct slot_granted
{
    request_id request;
    upstream_id upstream;
    std::string version = {}; ///< The upstream's software version, as known to the node that granted the slot.
    node_id schedulingNode = {}; ///< The node that granted the slot, if that is another node.

    auto operator<=>(const slot_granted &) const = default;
};

/// The estimates on which a rejection was based.
struct rejection_basis
{
    std::uint32_t waiting = 0; ///< Runs of the cell that waited for a slot and could still meet their target.
    std::uint32_t slots = 0; ///< Slots of the cell's upstreams that accept new work.
    duration expectedWait{}; ///< Expected wait of the run for a slot.
    duration firstByte{}; ///< 95th percentile of the time to first byte.
    double startsPerSecond = 0; ///< Runs per second that these upstreams can start, by their slots and rate limits.
    std::uint32_t limited = 0; ///< Number of these upstreams whose rate is limited.
    caller_key caller = 0;
    std::uint32_t waitingOfCaller = 0; ///< The caller's runs of this urgency that waited.
    std::uint32_t waitingCallers = 0; ///< Callers with runs of this urgency that waited; each gets an equal share of the slots.

    auto operator<=>(const rejection_basis &) const = default;
};

/// No slot becomes free in time, or there is no upstream: the run is not sent.
struct slot_rejected
{
    request_id request;
    end_reason reason = end_reason::Overloaded;
    duration retryAfter{}; ///< Time after which the client should retry.
    rejection_basis basis{}; ///< Set only on the node that made the decision.

    auto operator<=>(const slot_rejected &) const = default;
};

/// From here on the failures of the run's job no longer count against upstreams, since they answer others.
struct origin_blamed
{
    request_id request; ///< The run whose failure is the first that does not count.
    upstream_id upstream;

    auto operator<=>(const origin_blamed &) const = default;
};

/// An upstream gets no new work for some time because it failed or was much slower than the others.
struct upstream_ejected
{
    upstream_id upstream;
    bool forSlowness = false;

    auto operator<=>(const upstream_ejected &) const = default;
};

/// Online work needs the slot of a batch run: cancel the run and report its end.
struct slot_reclaimed
{
    request_id request;

    auto operator<=>(const slot_reclaimed &) const = default;
};

/// An action that the host of a request_scheduler must carry out; a list is carried out in order.
using slot_action = std::variant<slot_granted, slot_rejected, slot_reclaimed, upstream_ejected, origin_blamed>;
using slot_actions = std::vector<slot_action>;

} // namespace banyan
