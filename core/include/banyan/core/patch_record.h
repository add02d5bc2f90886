#pragma once

#include "banyan/core/configuration_patch.h"
#include "banyan/core/time.h"

#include <compare>
#include <string>

namespace banyan {

/// A committed patch with its author, time and reason, as stored in its row.
struct patch_record
{
    configuration_version version = 0; ///< Version that the patch produced.
    operator_id author;
    time_point time;
    std::string reason;
    std::string submissionId; ///< Identifies the submission, so that its commit can be recognized after the answer was lost.
    std::string mergePatch;

    auto operator<=>(const patch_record &) const = default;
};

/// Serializes a patch record to the value of its row.
[[nodiscard]] std::string toJson(const patch_record &record);

/// Parses the value of a patch row.
/// @throws configuration_error
[[nodiscard]] patch_record parsePatchRecord(std::string_view json);

/// Returns the sorted paths of all fields that a merge patch sets or removes, for example "services.advisory.version".
/// @throws configuration_error
[[nodiscard]] std::vector<std::string> changedFields(std::string_view mergePatch);

} // namespace banyan
