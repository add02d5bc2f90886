#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// A content that crashed several upstreams and is refused for a time.
struct quarantined_fingerprint
{
    std::uint64_t fingerprint = 0; ///< As in dispatch_request.
    time_point until;

    auto operator<=>(const quarantined_fingerprint &) const = default;
};

} // namespace banyan
