#pragma once

#include "banyan/io/asio_types.h"
#include "banyan/io/async_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace banyan {

/// Runs tasks side by side, a limited number at a time.
///
/// @code
/// task_group group(context, 16);
/// for (const std::string &key : keys) {
///     co_await group.start(handle(key));
/// }
/// co_await group.finished();
/// @endcode
class task_group
{
public:
    task_group(asio::io_context &context, std::size_t limit)
        : m_context(context)
        , m_limit(limit)
        , m_state(std::make_shared<state>(context))
    {
    }

    /// Waits until fewer than the limit are running, then starts @p work, which must not throw.
    [[nodiscard]] task<> start(task<> work)
    {
        while (m_state->running >= m_limit) {
            co_await m_state->changed.wait();
        }
        ++m_state->running;
        asio::co_spawn(m_context, run(m_state, std::move(work)), asio::detached);
    }

    /// Waits until all have ended.
    [[nodiscard]] task<> finished()
    {
        while (m_state->running > 0) {
            co_await m_state->changed.wait();
        }
    }

private:
    struct state
    {
        explicit state(asio::io_context &context)
            : changed(context)
        {
        }

        async_event changed;
        std::size_t running = 0;
    };

    static task<> run(std::shared_ptr<state> shared, task<> work)
    {
        co_await std::move(work);
        --shared->running;
        shared->changed.notify();
    }

    asio::io_context &m_context;
    std::size_t m_limit;
    std::shared_ptr<state> m_state;
};

} // namespace banyan
