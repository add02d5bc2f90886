#pragma once

#include <functional>
#include <utility>

namespace banyan {

/// Lets the one who started a request stop it.
class run_cancellation
{
public:
    /// Stops the request; without effect when it has ended or was cancelled before.
    void cancel()
    {
        if (m_cancelled) {
            return;
        }
        m_cancelled = true;
        if (m_handler) {
            std::exchange(m_handler, nullptr)();
        }
    }

    [[nodiscard]] bool cancelled() const
    {
        return m_cancelled;
    }

    /// Sets what cancel() does; called at once if it has been cancelled before. Set by the one who runs the request.
    void onCancel(std::function<void()> handler)
    {
        if (m_cancelled && handler) {
            handler();
            return;
        }
        m_handler = std::move(handler);
    }

private:
    bool m_cancelled = false;
    std::function<void()> m_handler;
};

} // namespace banyan
