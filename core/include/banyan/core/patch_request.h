#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/time.h"

#include <compare>
#include <string>

namespace banyan {

/// An operator's wish to change the configuration.
struct patch_request
{
    std::string submissionId; ///< Unique to this wish. Sent again with the same id, it is applied once and answered alike.
    operator_id author;
    configuration_version baseVersion = 0; ///< The version that the patch was written against.
    std::string mergePatch;
    std::string reason;

    auto operator<=>(const patch_request &) const = default;
};

} // namespace banyan
