#pragma once

#include <functional>
#include <utility>

namespace banyan {

/// Tells a piece of work to stop, whichever step it is at. The step in progress says what to do then.
class stop_signal
{
public:
    /// Stops the work; only the first call has an effect.
    void stop()
    {
        if (std::exchange(m_stopped, true)) {
            return;
        }
        const auto handler = std::exchange(m_handler, nullptr);
        if (handler) {
            handler();
        }
    }

    [[nodiscard]] bool stopped() const
    {
        return m_stopped;
    }

    /// Replaces what stop() calls; null for nothing. Called at once if the work is stopped already.
    void onStop(std::function<void()> handler)
    {
        if (m_stopped && handler) {
            handler();
            return;
        }
        m_handler = std::move(handler);
    }

private:
    bool m_stopped = false;
    std::function<void()> m_handler;
};

} // namespace banyan
