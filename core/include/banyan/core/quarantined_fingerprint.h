#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// A request content that crashed several upstreams and is rejected until a given time.
struct quarantined_fingerprint
{
    std::uint64_t fingerprint = 0; ///< Fingerprint of the content, as in dispatch_request.
    time_point until;

    auto operator<=>(const quarantined_fingerprint &) const = default;
};

} // namespace banyan
