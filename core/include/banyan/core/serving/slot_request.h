#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/caller_key.h"
#include "banyan/core/serving/request_size.h"
#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/serving/upstream_cell.h"
#include "banyan/core/time.h"
#include "banyan/core/work_class.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace banyan {

/// A run that needs a slot at an upstream.
struct slot_request
{
    request_id id;
    service_name service;
    work_class workClass = work_class::Online;
    std::uint32_t priority = 0; ///< Priority of its route; 0 is the most urgent.
    time_point arrivedAt;
    time_point target; ///< An answer that begins later is late. For a batch item: the end of its job's completion window.
    time_point deadline; ///< An answer that begins later is useless to the caller.
    upstream_cell cell; ///< The upstreams that may be chosen; by default all of the service.
    bool repeatable = false; ///< May run again, so it may probe an ejected upstream that has possibly not recovered.
    bool sentBefore = false; ///< An earlier attempt was sent, so the run keeps waiting even if it will be late.
    std::uint64_t prefixHash = 0; ///< Hash of the prompt's shared prefix; 0 if there is none.
    stream_key stream = 0; ///< The resumable stream that the run begins or continues; 0 if there is none.
    bool continues = false; ///< Whether an earlier run has begun the stream, or the output of the item.
    std::string version; ///< Software version that the upstream must have; empty for any.
    std::vector<upstream_id> excluded; ///< Upstreams to use only if there is no other.
    node_id holder; ///< The node that sends the run over its own connections.
    failure_domain domain; ///< Failure domain of the holder.
    duration earlierRunTime{}; ///< For a batch run: time that earlier runs of the item, which this run continues, spent at upstreams.
    std::uint64_t origin = 0; ///< Hash of the job of a batch run, whose items may all fail for the same reason; 0 if there is none.
    std::uint32_t earlierFailures = 0; ///< For a batch run: earlier runs of the item that upstreams reported as failed.
    caller_key caller = 0; ///< Whose share of the upstreams the run uses.
    request_size size; ///< As the caller states it.

    auto operator<=>(const slot_request &) const = default;
};

} // namespace banyan
