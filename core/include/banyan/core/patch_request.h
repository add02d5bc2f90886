#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/time.h"

#include <compare>
#include <string>

namespace banyan {

/// An operator's request to change the configuration.
struct patch_request
{
    std::string submissionId; ///< Idempotency key: a request repeated with the same id is applied once and gets the same answer.
    operator_id author;
    configuration_version baseVersion = 0; ///< Version that the patch is based on.
    std::string mergePatch;
    std::string reason;

    auto operator<=>(const patch_request &) const = default;
};

} // namespace banyan
