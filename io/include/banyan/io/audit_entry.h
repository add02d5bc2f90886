#pragma once

#include "banyan/core/configuration.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// One line of the audit trail.
struct audit_entry
{
    std::uint64_t number = 0; ///< Grows by time; where to go on reading.
    time_point time;
    std::string kind; ///< See audit_query.
    std::string author; ///< The operator, or the node that acted on its own.
    configuration_version fromVersion = 0; ///< 0 where no configuration was changed.
    configuration_version toVersion = 0; ///< 0 where none came into force.
    std::string reason;
    std::string detail; ///< JSON, for example the patch; may be empty.

    auto operator<=>(const audit_entry &) const = default;
};

} // namespace banyan
