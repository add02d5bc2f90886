#pragma once

#include "banyan/core/time.h"

#include <cstddef>

namespace banyan {

/// Tells a peer that moves fewer bytes than a least rate, judged over windows of time, or none for a window.
class progress_meter
{
public:
    static constexpr duration window = std::chrono::seconds(1);
    static constexpr std::size_t leastRate = std::size_t(16) << 10; ///< Bytes a second.

    /// Begins anew: the peer is not slow before a window has passed.
    void restart(time_point now);
    void record(std::size_t bytes, time_point now);
    [[nodiscard]] bool isSlow(time_point now) const;

private:
    time_point m_begun{}; ///< Of the window.
    time_point m_lastMove{};
    std::size_t m_bytes = 0; ///< In the window so far.
    bool m_wasSlow = false; ///< In the window before.
};

} // namespace banyan
