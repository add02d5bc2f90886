#pragma once

#include <compare>
#include <string>

namespace banyan {

/// The result of an item as it is stored and listed; it never changes.
struct listed_result
{
    std::string item; ///< Id of the item.
    bool succeeded = false;
    std::string output; ///< The data of all events, joined by line feeds.

    auto operator<=>(const listed_result &) const = default;
};

} // namespace banyan
