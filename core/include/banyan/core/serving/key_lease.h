#pragma once

#include "banyan/core/time.h"

#include <optional>

namespace banyan {

/// How long this node may take requests under the keys that it knows.
///
/// A successful reading of the configuration that began at p contains every version that was acknowledged before p. A version
/// that this node does not know was therefore acknowledged after the begin of its last reading. The lease ends a revocation time
/// after that begin, less a margin for clocks that run at different speeds, so that no request is taken later than a revocation
/// time after the acknowledgement of a version that takes its key away. All times must be of one clock that goes on while the
/// machine is suspended.
class key_lease
{
public:
    /// @p revocationTime 0 means that the lease never ends.
    explicit key_lease(duration revocationTime = {});

    /// Records that a reading that began at @p begunAt has succeeded and is in force here.
    void recordReading(time_point begunAt);

    /// Whether a request under a known key may be taken.
    [[nodiscard]] bool isValid(time_point now) const;

    /// Whether everything that was acknowledged before @p at is known.
    [[nodiscard]] bool knowsAllBefore(time_point at) const;

    /// Time since the begin of the last reading; none before the first one.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

private:
    duration m_length;
    std::optional<time_point> m_begunAt; ///< Begin of the last successful reading.
};

} // namespace banyan
