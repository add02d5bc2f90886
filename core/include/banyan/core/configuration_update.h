#pragma once

#include "banyan/core/configuration_patch.h"
#include "banyan/core/configuration_snapshot.h"

#include <compare>
#include <optional>
#include <vector>

namespace banyan {

/// Brings a node from an older version to a newer one: by consecutive patches, or by a snapshot if the patches are no longer
/// retained. Both are empty if there is no newer version.
struct configuration_update
{
    std::vector<configuration_patch> patches;
    std::optional<configuration_snapshot> snapshot;

    auto operator<=>(const configuration_update &) const = default;
};

} // namespace banyan
