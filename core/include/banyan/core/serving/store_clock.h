#pragma once

#include "banyan/core/time.h"

#include <optional>

namespace banyan {

/// Converts between this process's time and the store's, which is the same for all processes whatever their own clocks show.
///
/// Each answer of the store gives its time at a moment between the call and the answer; the narrowest bounds seen so far are
/// kept. Both conversions err to later moments, by no more than the fastest call took, so that a deadline that has been stored
/// is never found to have passed too early.
class store_clock
{
public:
    /// Takes in an answer: the store's time in it, and when this process sent the call and had the answer.
    void observe(duration storeTime, time_point sentAt, time_point receivedAt);

    /// Whether an answer has been seen. Conversions need one.
    [[nodiscard]] bool isSet() const
    {
        return m_storeOffsetBound.has_value();
    }

    /// The store's time at a moment of this process. @pre isSet()
    [[nodiscard]] duration toStoreTime(time_point moment) const;

    /// The moment of this process at a time of the store. @pre isSet()
    [[nodiscard]] time_point toLocalTime(duration storeTime) const;

private:
    std::optional<duration> m_storeOffsetBound; ///< Least seen of: the store's time less that of the call.
    duration m_localOffsetBound{}; ///< Least seen of: the time of the answer less the store's.
};

} // namespace banyan
