#pragma once

#include "banyan/io/async_event.h"

#include <optional>
#include <string>
#include <utility>

namespace banyan {

/// The answer to a call that another thread completes by posting complete() or fail() to the Asio thread.
template<typename Result>
class peer_call
{
public:
    explicit peer_call(asio::io_context &context)
        : m_changed(context)
    {
    }

    void complete(Result result)
    {
        m_result = std::move(result);
        m_changed.notify();
    }

    void fail(std::string text)
    {
        m_failure = std::move(text);
        m_changed.notify();
    }

    /// Wakes the waiter to look for something else.
    void notify()
    {
        m_changed.notify();
    }

    [[nodiscard]] bool finished() const
    {
        return m_result || m_failure;
    }

    [[nodiscard]] task<> wait()
    {
        return m_changed.wait();
    }

    [[nodiscard]] const std::optional<std::string> &failure() const
    {
        return m_failure;
    }

    /// After finished() without a failure.
    [[nodiscard]] Result take()
    {
        return std::move(*m_result);
    }

private:
    async_event m_changed;
    std::optional<Result> m_result;
    std::optional<std::string> m_failure;
};

} // namespace banyan
