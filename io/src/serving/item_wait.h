#pragma once

#include "banyan/core/serving/claim_terms.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// The wait of an item for a slot.
struct item_wait
{
    claim_terms terms; ///< Of the claim that waits.
    time_point since; ///< Begin of the wait, which may have begun with another claim.
    std::uint64_t configurationVersion = 0; ///< From which the terms follow.

    auto operator<=>(const item_wait &) const = default;
};

} // namespace banyan
