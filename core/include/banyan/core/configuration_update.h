#pragma once

#include "banyan/core/configuration_patch.h"
#include "banyan/core/configuration_snapshot.h"

#include <compare>
#include <optional>
#include <vector>

namespace banyan {

/// What brings a node from an older version to a newer one: patches in order, or a snapshot where it is too far behind.
/// Both empty: there is nothing newer.
struct configuration_update
{
    std::vector<configuration_patch> patches;
    std::optional<configuration_snapshot> snapshot;

    auto operator<=>(const configuration_update &) const = default;
};

} // namespace banyan
