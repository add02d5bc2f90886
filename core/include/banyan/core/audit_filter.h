#pragma once

#include "banyan/core/audit_record.h"

#include <optional>
#include <string>

namespace banyan {

/// Which audit records to read; an unset field lets everything through.
struct audit_filter
{
    std::optional<time_point> from; ///< Earliest time, included.
    std::optional<time_point> until; ///< Latest time, left out.
    std::optional<std::string> kind;
    std::optional<operator_id> actor;
    std::optional<bool> accepted;
    std::size_t limit = 1000; ///< Records returned at most, the oldest first.

    /// Whether @p record is asked for; the limit is not looked at.
    [[nodiscard]] bool matches(const audit_record &record) const;

    auto operator<=>(const audit_filter &) const = default;
};

} // namespace banyan
