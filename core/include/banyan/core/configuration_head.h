#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

/// Key of the one row that every patch changes: its row version is what a patch is conditional on.
inline constexpr std::string_view configurationHeadKey = "config/head";

/// Key prefix of the patch rows; they sort by version.
inline constexpr std::string_view configurationPatchPrefix = "config/patch/";

/// Name prefix of the snapshot objects.
inline constexpr std::string_view configurationSnapshotPrefix = "config/snapshot/";

/// What the head row says.
struct configuration_head
{
    configuration_version version = 0; ///< The newest version; 0 if the row is absent.
    row_version rowVersion = 0; ///< Of the head row; 0 if it is absent.
    configuration_version snapshotVersion = 0; ///< Of the newest stored snapshot; 0 for none.
    std::string snapshotObject; ///< Its name in the object store.

    auto operator<=>(const configuration_head &) const = default;
};

/// Reads the head row; an absent one is the head of a new system.
/// @throws configuration_error
[[nodiscard]] configuration_head parseHead(const std::optional<row> &stored);

/// The value of the head row.
[[nodiscard]] std::string toJson(const configuration_head &head);

/// Key of the row that keeps the patch which led to @p version.
[[nodiscard]] std::string patchKey(configuration_version version);

/// Name of a snapshot object. It holds the submission's id, so that a patch which loses a race does not overwrite the
/// winner's snapshot.
[[nodiscard]] std::string snapshotObjectName(configuration_version version, const std::string &submissionId);

} // namespace banyan
