#pragma once

#include <functional>
#include <utility>

namespace banyan {

/// Requests that an operation of several steps be cancelled. The step in progress sets the handler that cancels it.
class stop_signal
{
public:
    /// Requests the cancellation; only the first call has an effect.
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

    /// Replaces the handler that stop() calls; null removes it. Calls @p handler at once if stop() has been called.
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
