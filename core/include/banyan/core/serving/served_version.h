#pragma once

#include "banyan/core/time.h"

#include <compare>
#include <optional>
#include <string>

namespace banyan {

/// A software version of a service, as recorded for all nodes.
struct served_version
{
    std::string version;
    std::optional<duration> endedAt; ///< When its last upstream had left, by the store's clock; none while it is in service.

    auto operator<=>(const served_version &) const = default;
};

} // namespace banyan
