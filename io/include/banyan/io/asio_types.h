#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace banyan {

namespace asio = boost::asio;

/// The result of a coroutine on the process's one Asio thread.
template<typename T = void>
using task = asio::awaitable<T>;

} // namespace banyan
