#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// The wait of an item for a slot.
struct item_wait
{
    service_name service; ///< Whose slot the item waits for.
    time_point since; ///< Begin of the wait, which may have begun for another service.
    std::uint64_t configurationVersion = 0; ///< By which the service was chosen.

    auto operator<=>(const item_wait &) const = default;
};

} // namespace banyan
