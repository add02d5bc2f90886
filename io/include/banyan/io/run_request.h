#pragma once

#include "banyan/core/dispatch_request.h"
#include "banyan/core/identifier.h"
#include "banyan/io/http_message.h"

#include <cstdint>
#include <string>

namespace banyan {

/// A request on its way to an upstream: what the dispatcher decides on and what the upstream receives.
struct run_request
{
    dispatch_request dispatch;
    pool_name pool; ///< Upstreams that may run it.
    http_request message; ///< As it is sent to the upstream.
    std::string recordKey; ///< Row of its durable record, whose start is committed before a request not to be repeated is sent; else empty.
    bool startRecorded =
        false; ///< Its start is committed already and nothing has been sent since, so that it may be sent without another commit.
    std::uint64_t fencingNumber = 0; ///< Sent to upstreams as X-Fencing-Number where it is not 0.

    auto operator<=>(const run_request &) const = default;
};

} // namespace banyan
