#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// An upstream as it registers itself.
struct replica
{
    upstream_id id; ///< An upstream may start again under the id that it had.
    std::uint64_t startedAt = 0; ///< Tells its starts apart: milliseconds since 1970; 0 if it does not say.
    service_name service;
    endpoint address; ///< May belong to another upstream after this one has ended.
    failure_domain domain;
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    bool draining = false; ///< Takes no new work.

    auto operator<=>(const replica &) const = default;
};

} // namespace banyan
