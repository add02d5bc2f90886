#pragma once

#include "banyan/io/asio_types.h"

#include <boost/asio/steady_timer.hpp>

namespace banyan {

/// Wakes coroutines that wait for a change. All use is on the Asio thread; a waiter checks its condition again.
///
/// @code
/// while (queue.empty()) {
///     co_await changed.wait();
/// }
/// @endcode
class async_event
{
public:
    explicit async_event(asio::io_context &context)
        : m_timer(context, asio::steady_timer::time_point::max())
    {
    }

    /// Returns after the next notify().
    [[nodiscard]] task<> wait()
    {
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// Wakes all that wait now.
    void notify()
    {
        m_timer.cancel();
    }

private:
    asio::steady_timer m_timer;
};

} // namespace banyan
