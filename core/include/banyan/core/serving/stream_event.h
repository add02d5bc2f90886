#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace banyan {

/// One event of an event stream.
struct stream_event
{
    std::optional<std::uint64_t> id; ///< None if the event has no id or a non-numeric one.
    std::string data; ///< The data lines, joined by line feeds.
    std::string bytes; ///< The event as received, including the empty line that ends it.

    auto operator<=>(const stream_event &) const = default;
};

} // namespace banyan
