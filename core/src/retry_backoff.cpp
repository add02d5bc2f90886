#include "retry_backoff.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr duration firstDelay = std::chrono::milliseconds(20);
constexpr std::uint32_t maximumDoublings = 7; ///< Bounds the delay to 2.56 s.

} // namespace

retry_backoff::retry_backoff(std::uint64_t seed)
    : m_random(seed)
{
}

duration retry_backoff::delay(std::uint32_t number)
{
    const duration longest = firstDelay * (1U << std::min(std::max(number, 1U) - 1, maximumDoublings));
    std::uniform_int_distribution<duration::rep> jitter(longest.count() / 2, longest.count());
    return duration(jitter(m_random));
}

} // namespace banyan
