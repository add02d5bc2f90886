#pragma once

#include "banyan/core/configuration_patch.h"
#include "banyan/core/time.h"

#include <compare>
#include <string>

namespace banyan {

/// A committed patch with its origin, as its row keeps it.
struct patch_record
{
    configuration_version version = 0; ///< That the patch led to.
    operator_id author;
    time_point time;
    std::string reason;
    std::string submissionId; ///< Tells whether a lost answer belonged to this patch.
    std::string mergePatch;

    auto operator<=>(const patch_record &) const = default;
};

/// The value of a patch row.
[[nodiscard]] std::string toJson(const patch_record &record);

/// Reads the value of a patch row.
/// @throws configuration_error
[[nodiscard]] patch_record parsePatchRecord(std::string_view json);

/// The paths of all fields that a merge patch sets or removes, for example "services.advisory.version"; sorted.
/// @throws configuration_error
[[nodiscard]] std::vector<std::string> changedFields(std::string_view mergePatch);

} // namespace banyan
