#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace banyan {

/// Which entries of the audit trail to read. Empty texts do not filter.
struct audit_query
{
    std::string kind; ///< For example "patch", "patch_refused", "lease_takeover", "drain" or "model_order".
    std::string author;
    std::uint64_t after = 0; ///< Entries with greater numbers only.
    std::size_t limit = 100;

    auto operator<=>(const audit_query &) const = default;
};

} // namespace banyan
