#pragma once

#include "banyan/core/identifier.h"
#include "banyan/io/run_request.h"

#include <string>

namespace banyan {

/// A request that its caller wants recorded before it is acknowledged.
struct record_request
{
    caller_id caller;
    std::string idempotencyKey; ///< The caller's name for this request; not empty.
    std::string contentHash; ///< SHA-256 of everything that makes it the same request: service, method, target and body.
    run_request request; ///< What to run, also again after a loss; recordKey and fencingNumber are filled in by the service.

    auto operator<=>(const record_request &) const = default;
};

} // namespace banyan
