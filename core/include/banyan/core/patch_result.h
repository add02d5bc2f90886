#pragma once

#include "banyan/core/patch_record.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// How a submitted patch ended.
enum class patch_outcome {
    Accepted, ///< It is committed.
    Conflict, ///< Refused: the configuration is not at the base version. Nothing was changed.
    Invalid, ///< Refused: the patch or its result is not sound. Nothing was changed.
    Unavailable, ///< The platform could not be asked. Nothing was changed.
    OutcomeUnknown, ///< The platform went away during the commit. Submit again with the same id to learn which it was.
};

/// "accepted", "conflict", "invalid", "unavailable" or "outcome_unknown".
[[nodiscard]] std::string_view toString(patch_outcome outcome);

/// The answer to a submitted patch.
struct patch_result
{
    patch_outcome outcome = patch_outcome::Unavailable;
    configuration_version version = 0; ///< Accepted: the new version. Else the current one as far as known.
    std::string submissionId;
    std::string message; ///< Why it was refused, in words.
    std::vector<patch_record> missedPatches; ///< With Conflict: what was committed after the base version, the latest at most.
    std::vector<std::string> contestedFields; ///< With Conflict: fields that both this patch and a missed one change.

    auto operator<=>(const patch_result &) const = default;
};

} // namespace banyan
