#pragma once

#include <cstdint>
#include <random>

namespace banyan {

/// @p seed, or a random one for 0.
inline std::uint64_t seedOr(std::uint64_t seed)
{
    constexpr int halfBits = 32;
    if (seed != 0) {
        return seed;
    }
    std::random_device device;
    return (std::uint64_t(device()) << halfBits) | device();
}

} // namespace banyan
