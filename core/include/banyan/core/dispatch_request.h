#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/work_class.h"

#include <cstdint>

namespace banyan {

/// The properties of a request that a dispatcher needs to schedule it, without its body.
struct dispatch_request
{
    request_id id;
    caller_id caller;
    service_name service;
    work_class workClass = work_class::Online;
    bool repeatable = true; ///< If false, the request is sent to an upstream at most once and never hedged.
    bool resumable = false; ///< The engine can resume a cancelled stream.
    bool streamed = true; ///< The first byte arrives with the first token; if false, with the whole answer.
    std::uint64_t fingerprint = 0; ///< Hash of caller and content; recognises a repeated request whose content crashes upstreams.
    std::uint64_t prefixHash = 0; ///< Hash of the prompt's prefix, for cache affinity; 0 for none.
    std::uint32_t expectedTokens = 0; ///< Upper estimate of the number of tokens to generate; 0 if unknown.
    time_point deadline; ///< Time after which the answer is useless to the caller.

    auto operator<=>(const dispatch_request &) const = default;
};

} // namespace banyan
