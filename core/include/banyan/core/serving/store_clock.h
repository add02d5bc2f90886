#pragma once

#include "banyan/core/time.h"

#include <optional>

namespace banyan {

/// Converts between the clock of this process and that of the store, which is the same for all processes.
///
/// Each answer of the store holds its time at a moment between call and answer; the narrowest bounds observed so far are kept.
/// Both conversions err towards later times, by no more than the duration of the fastest call, so that a stored deadline never
/// appears to have passed too early.
class store_clock
{
public:
    /// Updates the bounds with an answer: the store's time in it, and when this process sent the call and received the answer.
    void observe(duration storeTime, time_point sentAt, time_point receivedAt);

    /// Whether an answer has been observed, which conversions require.
    [[nodiscard]] bool isSet() const
    {
        return m_storeOffsetBound.has_value();
    }

    /// Converts a time of this process to the store's. @pre isSet()
    [[nodiscard]] duration toStoreTime(time_point moment) const;

    /// Converts a time of the store to that of this process. @pre isSet()
    [[nodiscard]] time_point toLocalTime(duration storeTime) const;

private:
    std::optional<duration>
        m_storeOffsetBound; ///< Upper bound of the store's time minus the local time: the minimum of store time minus time of the call.
    duration m_localOffsetBound{}; ///< Upper bound of the local time minus the store's: the minimum of time of the answer minus store time.
};

} // namespace banyan
