#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/identifier.h"

#include <compare>
#include <string>

namespace banyan {

/// A change of the configuration that an operator wants.
struct patch_submission
{
    operator_id author;
    configuration_version baseVersion = 0; ///< The version that the author has seen; applied to no other.
    std::string patch; ///< JSON merge patch; see applyPatch().
    std::string reason; ///< The author's own words, for the audit trail.

    auto operator<=>(const patch_submission &) const = default;
};

} // namespace banyan
