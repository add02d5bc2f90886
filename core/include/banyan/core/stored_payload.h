#pragma once

#include <compare>
#include <string>

namespace banyan {

/// A text of a record: in its row, or where it is large in an object.
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
