#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <optional>
#include <set>

namespace banyan {

/// What comes due for a request.
enum class timer_kind {
    Deadline,
    Retry,
    FirstByte, ///< An attempt without a first byte counts as slow and may be hedged.
    LongRun, ///< An attempt has run for as long as long work does.
};

/// One thing to do for a request at a time.
struct request_timer
{
    time_point due;
    timer_kind kind = timer_kind::Deadline;
    request_id request;

    auto operator<=>(const request_timer &) const = default;
};

/// The timers of a dispatcher in the order in which they come due.
class timer_queue
{
public:
    void add(const request_timer &timer);
    void remove(const request_timer &timer);

    /// Takes out the first timer that is due at @p now, if any.
    [[nodiscard]] std::optional<request_timer> takeDue(time_point now);

    /// When the first timer comes due, if there is one.
    [[nodiscard]] std::optional<time_point> firstDue() const;

private:
    std::set<request_timer> m_timers;
};

} // namespace banyan
