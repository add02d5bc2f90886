#pragma once

#include "banyan/core/patch_record.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Outcome of a submitted patch.
enum class patch_outcome {
    Accepted, ///< The patch is committed.
    Conflict, ///< Rejected: the configuration is not at the base version. Nothing was changed.
    Invalid, ///< Rejected: the patch or the resulting configuration is invalid. Nothing was changed.
    Unavailable, ///< The platform could not be reached. Nothing was changed.
    OutcomeUnknown, ///< The platform became unreachable during the commit. Submitting again with the same id tells the outcome.
};

/// Returns "accepted", "conflict", "invalid", "unavailable" or "outcome_unknown".
[[nodiscard]] std::string_view toString(patch_outcome outcome);

/// Answer to a submitted patch.
struct patch_result
{
    patch_outcome outcome = patch_outcome::Unavailable;
    configuration_version version = 0; ///< With Accepted the new version, otherwise the latest known version.
    std::string submissionId;
    std::string message; ///< Human-readable reason for a rejection.
    std::vector<patch_record>
        missedPatches; ///< With Conflict: patches committed after the base version; only the latest ones if there are many.
    std::vector<std::string> contestedFields; ///< With Conflict: fields changed both by this patch and by a missed one.

    auto operator<=>(const patch_result &) const = default;
};

} // namespace banyan
