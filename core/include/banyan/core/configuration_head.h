#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

/// Key of the head row. Every patch changes this row and is conditional on its row version, which serializes patches.
inline constexpr std::string_view configurationHeadKey = "config/head";

/// Key prefix of the patch rows, which sort by version.
inline constexpr std::string_view configurationPatchPrefix = "config/patch/";

/// Name prefix of the snapshot objects.
inline constexpr std::string_view configurationSnapshotPrefix = "config/snapshot/";

/// Contents of the head row.
struct configuration_head
{
    configuration_version version = 0; ///< Newest configuration version; 0 if the row is absent.
    row_version rowVersion = 0; ///< Row version of the head row; 0 if the row is absent.
    configuration_version snapshotVersion = 0; ///< Version of the newest stored snapshot; 0 if there is none.
    std::string snapshotObject; ///< Name of the newest snapshot in the object store.

    auto operator<=>(const configuration_head &) const = default;
};

/// Parses the head row; an absent row yields the head of a new system.
/// @throws configuration_error
[[nodiscard]] configuration_head parseHead(const std::optional<row> &stored);

/// Returns the value of the head row.
[[nodiscard]] std::string toJson(const configuration_head &head);

/// Returns the key of the row that stores the patch that produced @p version.
[[nodiscard]] std::string patchKey(configuration_version version);

/// Returns the name of a snapshot object. The name contains the submission id, so that a patch that loses a race does not
/// overwrite the snapshot of the patch that was committed.
[[nodiscard]] std::string snapshotObjectName(configuration_version version, const std::string &submissionId);

} // namespace banyan
