#pragma once

#include <compare>
#include <cstddef>

namespace banyan {

/// How many connections of each kind may be open, so that none takes the descriptors that the others need.
struct descriptor_shares
{
    std::size_t callers = 20000; ///< On the callers' port.
    std::size_t others = 20000; ///< On each other HTTP port.

    auto operator<=>(const descriptor_shares &) const = default;
};

/// Divides a process's descriptors. What no share has is for upstreams, the store, peers and files. Without a maximum (0), the
/// defaults.
[[nodiscard]] descriptor_shares shareDescriptors(std::size_t maximum);

} // namespace banyan
