#pragma once

#include "banyan/core/configuration.h"

#include <compare>
#include <string>

namespace banyan {

/// What became of a patch.
enum class patch_verdict {
    Applied,
    VersionConflict, ///< The base version is not the current one.
    Invalid, ///< The patch or its result cannot be accepted.
    StoreUnavailable, ///< For sure not applied: the platform's store cannot be asked.
    Unknown, ///< Sent to the store, whose answer was lost and could not be settled yet. Read the configuration or the audit trail.
};

/// The answer to a patch_submission.
struct patch_answer
{
    patch_verdict verdict = patch_verdict::Applied;
    configuration_version version = 0; ///< The new version, or with VersionConflict the current one.
    std::string text; ///< Why it was refused, for people.

    auto operator<=>(const patch_answer &) const = default;
};

} // namespace banyan
