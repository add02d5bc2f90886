#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// Identifies one attempt to send a request to an upstream; unique within a dispatcher.
struct attempt_id
{
    std::uint64_t value = 0;

    auto operator<=>(const attempt_id &) const = default;
};

} // namespace banyan
