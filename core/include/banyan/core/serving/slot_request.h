#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/upstream_cell.h"
#include "banyan/core/time.h"
#include "banyan/core/work_class.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace banyan {

/// One run that wants a place at an upstream.
struct slot_request
{
    request_id id;
    service_name service;
    work_class workClass = work_class::Online;
    std::uint32_t priority = 0; ///< Of its route; 0 is the most urgent.
    time_point arrivedAt;
    time_point target; ///< An answer that begins later is late; of a batch item the end of its job's window.
    time_point deadline; ///< An answer that begins later is of no use.
    upstream_cell cell; ///< The upstreams that may be chosen; all of the service by default.
    bool repeatable = false; ///< May be sent to an upstream of which it is not known whether it has recovered.
    bool sentBefore = false; ///< An earlier attempt was sent, so that it waits on although it will be late.
    std::uint64_t prefixHash = 0; ///< Of the prompt's shared part; 0 for none.
    std::vector<upstream_id> excluded; ///< Used only if there is no other.
    node_id holder; ///< The node that sends the run, whose connections it uses.
    failure_domain domain; ///< Of that node.
    duration earlierRunTime{}; ///< Of a batch run: time that the item has spent at upstreams in earlier runs, which it continues.

    auto operator<=>(const slot_request &) const = default;
};

} // namespace banyan
