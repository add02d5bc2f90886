#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/work_class.h"

#include <cstdint>

namespace banyan {

/// What a dispatcher needs to know of a request in order to place it. The body is not part of it.
struct dispatch_request
{
    request_id id;
    caller_id caller;
    service_name service;
    work_class workClass = work_class::Online;
    bool repeatable = true; ///< False: sent to an upstream at most once, and never hedged.
    bool resumable = false; ///< The engine can continue a cancelled stream.
    bool streamed = true; ///< The upstream's first byte comes with the first token; false: with the whole answer.
    std::uint64_t fingerprint = 0; ///< Hash of caller and content; finds a request that crashes upstreams when it is sent again.
    std::uint64_t prefixHash = 0; ///< Hash of the prompt's prefix for cache affinity; 0 for none.
    std::uint32_t expectedTokens = 0; ///< Upper estimate of the tokens to generate; 0 if unknown.
    time_point deadline; ///< When the answer is of no more use.

    auto operator<=>(const dispatch_request &) const = default;
};

} // namespace banyan
