#pragma once

#include "banyan/core/configuration.h"

#include <compare>
#include <string>

namespace banyan {

/// A complete configuration in serialized form, as exchanged between nodes and stored.
struct configuration_snapshot
{
    configuration_version version = 0;
    std::string json; ///< Output of toJson(const configuration &).

    auto operator<=>(const configuration_snapshot &) const = default;
};

} // namespace banyan
