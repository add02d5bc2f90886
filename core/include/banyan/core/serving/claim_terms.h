#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

class service_availability;
struct job_entry;
struct route;

/// What an item's claim for a slot asks for. A claim that waits has to be made anew once the configuration and the upstreams give
/// other terms.
struct claim_terms
{
    service_name service;
    std::string version; ///< Software version that continues the item's output; empty for any, with the output begun anew.
    std::uint32_t priority = 0;
    time_point target; ///< End of the job's completion window.
    time_point deadline;

    auto operator<=>(const claim_terms &) const = default;
};

/// What the terms of an item's claim follow from, besides the upstreams.
struct claim_basis
{
    const job_entry &job;
    const route &jobRoute; ///< By the configuration in force.
    request_id item;
    std::uint32_t priority = 0; ///< Of the job.
    stream_origin output; ///< What made the item's output so far; empty if there is none.
};

/// The service that made the item's output, while the route has it and it can continue the output; else the service that the route's weights give the item if it is served; else a service of the route that is, by their weights. If none is
/// served, the item waits for the first.
[[nodiscard]] claim_terms claimTermsFor(const claim_basis &basis, const service_availability &availability);

} // namespace banyan
