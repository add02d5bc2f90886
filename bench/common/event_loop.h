#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace banyan::bench {

/// A discrete-event clock: runs functions in the order of their times; equal times in the order of their adding.
class event_loop
{
public:
    /// Runs @p action at @p when.
    void at(time_point when, std::function<void()> action)
    {
        m_events.push({.when = when, .number = ++m_lastNumber, .action = std::move(action)});
    }

    /// Runs @p action after @p delay.
    void after(duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /// Runs all events up to @p end.
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.action();
        }
        m_now = end;
    }

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    std::priority_queue<event> m_events;
    time_point m_now;
    std::uint64_t m_lastNumber = 0;
};

} // namespace banyan::bench
