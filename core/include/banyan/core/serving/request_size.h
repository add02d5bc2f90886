#pragma once

#include <compare>
#include <cstdint>

namespace banyan {

/// The size of a request as its caller states it: a bound on the work that it causes at an upstream, not a measurement.
/// Zero where the caller states nothing.
struct request_size
{
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;

    auto operator<=>(const request_size &) const = default;
};

} // namespace banyan
