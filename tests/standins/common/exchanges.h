#pragma once

#include "banyan/core/time.h"
#include "banyan/io/http_exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <cstddef>
#include <string>

namespace banyan::standins {

constexpr std::size_t maximumBody = std::size_t(64) << 20; ///< Bytes.

inline http_response jsonResponse(unsigned status, const boost::json::value &body)
{
    return {.status = status, .fields = {{"Content-Type", "application/json"}}, .body = boost::json::serialize(body)};
}

/// An object with one field.
inline boost::json::object objectOf(boost::json::string_view name, boost::json::value value)
{
    boost::json::object object;
    object[name] = std::move(value);
    return object;
}

inline http_response noContent()
{
    return {.status = 204};
}

inline http_response errorResponse(unsigned status, const std::string &message)
{
    const boost::json::object error = {{"message", message}, {"type", "standin_error"}, {"code", nullptr}, {"param", nullptr}};
    return jsonResponse(status, boost::json::object{{"error", error}});
}

/// Reads a JSON object, or throws boost::system::system_error or std::exception.
inline task<boost::json::object> readObject(http_exchange &exchange)
{
    const std::string text = co_await exchange.body(maximumBody);
    co_return boost::json::parse(text).as_object();
}

inline task<> sleepFor(duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Overwrites @p target if @p object has the field @p name.
template<typename T>
void assignIfPresent(T &target, const boost::json::object &object, boost::json::string_view name)
{
    if (const boost::json::value *value = object.if_contains(name)) {
        target = boost::json::value_to<T>(*value);
    }
}

/// As assignIfPresent(), for a number of milliseconds.
inline void assignMilliseconds(duration &target, const boost::json::object &object, boost::json::string_view name)
{
    if (const boost::json::value *value = object.if_contains(name)) {
        target = std::chrono::milliseconds(value->to_number<std::int64_t>());
    }
}

} // namespace banyan::standins
