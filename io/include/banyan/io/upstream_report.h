#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace banyan {

/// What a node knows of an upstream, for operators.
struct upstream_report
{
    upstream_id id;
    pool_name pool;
    failure_domain domain;
    endpoint address;
    node_id dispatcher; ///< The node that dispatches for it now, in this node's view; that node knows its load.
    bool leaving = false;
    bool ejected = false; ///< Receives no work because it was slow or failed.
    std::uint32_t limit = 0; ///< Requests that it may hold before batch work has to yield, as its pace shows.
    duration firstByte{}; ///< Moving average of the time to the first byte.
    std::size_t inFlight = 0; ///< As far as this node knows.

    auto operator<=>(const upstream_report &) const = default;
};

} // namespace banyan
