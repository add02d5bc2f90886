#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <optional>
#include <set>

namespace banyan {

/// The purpose of a timer.
enum class timer_kind {
    Deadline, ///< The request ends without an answer.
    Retry, ///< The backoff before a retry is over.
    FirstByte, ///< An attempt without a first byte counts as slow and may be hedged.
    LongRun, ///< A running request starts to count as long.
};

/// A timer of a request.
struct request_timer
{
    time_point due;
    timer_kind kind = timer_kind::Deadline;
    request_id request;

    auto operator<=>(const request_timer &) const = default;
};

/// The timers of a dispatcher, ordered by due time.
class timer_queue
{
public:
    void add(const request_timer &timer);
    void remove(const request_timer &timer);

    /// Removes and returns the first timer that is due at @p now, if any.
    [[nodiscard]] std::optional<request_timer> takeDue(time_point now);

    /// The due time of the first timer, if any.
    [[nodiscard]] std::optional<time_point> firstDue() const;

private:
    std::set<request_timer> m_timers;
};

} // namespace banyan
