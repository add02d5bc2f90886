#pragma once

#include "banyan/core/configuration.h"

#include <compare>
#include <string>

namespace banyan {

/// A whole configuration as it is passed on or stored.
struct configuration_snapshot
{
    configuration_version version = 0;
    std::string json; ///< The form of toJson(const configuration &).

    auto operator<=>(const configuration_snapshot &) const = default;
};

} // namespace banyan
