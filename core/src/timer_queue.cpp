#include "timer_queue.h"

namespace banyan {

void timer_queue::add(const request_timer &timer)
{
    m_timers.insert(timer);
}

void timer_queue::remove(const request_timer &timer)
{
    m_timers.erase(timer);
}

std::optional<request_timer> timer_queue::takeDue(time_point now)
{
    if (m_timers.empty() || m_timers.begin()->due > now) {
        return std::nullopt;
    }
    request_timer result = *m_timers.begin();
    m_timers.erase(m_timers.begin());
    return result;
}

std::optional<time_point> timer_queue::firstDue() const
{
    if (m_timers.empty()) {
        return std::nullopt;
    }
    return m_timers.begin()->due;
}

} // namespace banyan
