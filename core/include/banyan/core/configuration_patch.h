#pragma once

#include "banyan/core/configuration.h"

#include <compare>
#include <string>

namespace banyan {

/// The step from one configuration version to the next, as nodes pass it on.
struct configuration_patch
{
    configuration_version version = 0; ///< That the patch leads to.
    std::string mergePatch; ///< JSON merge patch against the version before.

    auto operator<=>(const configuration_patch &) const = default;
};

} // namespace banyan
