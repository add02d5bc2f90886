#pragma once

#include "banyan/core/configuration.h"

#include <compare>
#include <string>

namespace banyan {

/// The change from one configuration version to the next, as exchanged between nodes.
struct configuration_patch
{
    configuration_version version = 0; ///< Version that the patch produces.
    std::string mergePatch; ///< JSON merge patch against the previous version.

    auto operator<=>(const configuration_patch &) const = default;
};

} // namespace banyan
