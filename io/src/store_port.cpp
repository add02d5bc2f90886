#include "banyan/io/store_port.h"

#include "banyan/io/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace banyan {

namespace {

void callAt(asio::io_context &context, time_point when, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(context);
    timer->expires_after(std::max(when - currentTime(), duration::zero()));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &error) {
        if (!error) {
            action();
        }
    });
}

} // namespace

store_port platformPort(asio::io_context &context, platform_client &platform)
{
    store_port port;
    port.commit = [&platform](transaction change) {
        return platform.commit(std::move(change));
    };
    port.read = [&platform](std::string key) {
        return platform.read(std::move(key));
    };
    port.scan = [&platform](std::string prefix, std::string after, std::size_t limit) {
        return platform.scan(std::move(prefix), std::move(after), limit);
    };
    port.putObject = [&platform](std::string name, std::string bytes) {
        return platform.putObject(std::move(name), std::move(bytes));
    };
    port.getObject = [&platform](std::string name) {
        return platform.getObject(std::move(name));
    };
    port.deleteObject = [&platform](std::string name) {
        return platform.deleteObject(std::move(name));
    };
    port.now = currentTime;
    port.callAt = [&context](time_point when, std::function<void()> action) {
        callAt(context, when, std::move(action));
    };
    return port;
}

task<> sleepUntil(store_port port, time_point when)
{
    const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    port.callAt(when, [timer] {
        timer->expires_at(asio::steady_timer::time_point::min());
    });
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace banyan
