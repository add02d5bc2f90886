#include "banyan/io/client_memory.h"

#include "banyan/io/clock.h"
#include "banyan/io/node_metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace banyan {

namespace {

constexpr duration roomPoll = std::chrono::milliseconds(10); // For a client that was ended to give back what it held.

} // namespace

client_memory::client_memory(const byte_budget_options &options)
    : m_budget(options)
{
}

byte_share client_memory::share(memory_holder holder)
{
    return {m_budget, holder};
}

const byte_budget &client_memory::budget() const
{
    return m_budget;
}

void client_memory::addYielder(std::function<bool(time_point now)> yieldOne)
{
    m_yielders.push_back(std::move(yieldOne));
}

bool client_memory::yieldOne(time_point now)
{
    return std::any_of(m_yielders.begin(), m_yielders.end(), [&](const std::function<bool(time_point)> &yielder) {
        return yielder(now);
    });
}

task<bool> client_memory::resize(byte_share &share, std::size_t bytes, duration patience, std::function<bool()> stopped)
{
    if (share.resize(bytes)) {
        co_return true;
    }
    const time_point end = currentTime() + patience;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (currentTime() < end && !(stopped && stopped())) {
        if (const time_point now = currentTime(); now - m_yieldedAt >= roomPoll) {
            m_yieldedAt = now;
            (void)yieldOne(now);
        }
        timer.expires_after(roomPoll);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (share.resize(bytes)) {
            co_return true;
        }
    }
    co_return false;
}

void client_memory::publish(node_metrics &metrics) const
{
    metrics.set("held_bytes_limit", static_cast<double>(m_budget.capacity()));
    for (const memory_holder holder : memoryHolders) {
        metrics.set("held_bytes_" + std::string(toString(holder)), static_cast<double>(m_budget.used(holder)));
    }
}

} // namespace banyan
