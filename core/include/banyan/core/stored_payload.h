#pragma once

#include <compare>
#include <string>

namespace banyan {

/// A request or an answer of a record. It is stored in the row, or in an object if it is large.
struct stored_payload
{
    std::string text; ///< Empty if it is in an object.
    std::string objectName; ///< Empty if it is in the row.

    [[nodiscard]] bool empty() const
    {
        return text.empty() && objectName.empty();
    }

    auto operator<=>(const stored_payload &) const = default;
};

} // namespace banyan
