#include "banyan/core/serving/key_lease.h"

#include <algorithm>

namespace banyan {

namespace {

constexpr int marginDivisor = 50; // The margin is this part of the revocation time; clocks differ by far less.

} // namespace

key_lease::key_lease(duration revocationTime)
    : m_length(revocationTime - revocationTime / marginDivisor)
{
}

void key_lease::recordReading(time_point begunAt)
{
    m_begunAt = std::max(m_begunAt.value_or(begunAt), begunAt);
}

bool key_lease::isValid(time_point now) const
{
    return m_length == duration(0) || (m_begunAt && now < *m_begunAt + m_length);
}

bool key_lease::knowsAllBefore(time_point at) const
{
    return m_begunAt && at < *m_begunAt;
}

std::optional<duration> key_lease::age(time_point now) const
{
    return m_begunAt ? std::optional(now - *m_begunAt) : std::nullopt;
}

} // namespace banyan
