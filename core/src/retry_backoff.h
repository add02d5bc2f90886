#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <random>

namespace banyan {

/// Exponential backoff with jitter: delays double from one retry to the next, and half of each is random.
class retry_backoff
{
public:
    explicit retry_backoff(std::uint64_t seed);

    /// The delay before retry number @p number, counted from 1.
    [[nodiscard]] duration delay(std::uint32_t number);

private:
    std::mt19937_64 m_random;
};

} // namespace banyan
