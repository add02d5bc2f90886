#pragma once

#include "banyan/core/audit_record.h"

#include <optional>
#include <string>

namespace banyan {

/// Selects audit records; an unset field matches every record.
struct audit_filter
{
    std::optional<time_point> from; ///< Earliest time, inclusive.
    std::optional<time_point> until; ///< Latest time, exclusive.
    std::optional<std::string> kind;
    std::optional<operator_id> actor;
    std::optional<bool> accepted;
    std::size_t limit = 1000; ///< Maximum number of records returned, oldest first.

    /// Whether @p record matches the filter. The limit is not considered.
    [[nodiscard]] bool matches(const audit_record &record) const;

    auto operator<=>(const audit_filter &) const = default;
};

} // namespace banyan
