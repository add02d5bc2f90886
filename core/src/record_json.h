#pragma once

#include "banyan/core/record_error.h"
#include "banyan/core/time.h"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace banyan {

/// Converts a time to microseconds since the epoch, the format of times in rows.
inline std::int64_t timeToRow(time_point time)
{
    return time.time_since_epoch().count();
}

inline time_point timeFromRow(std::int64_t micros)
{
    return time_point(duration(micros));
}

/// Parses @p json and passes the object to @p read. Errors of the JSON library, also those in @p read, become record_error.
template<typename Read>
auto readRecord(std::string_view json, const char *kind, Read read)
{
    try {
        const boost::json::value parsed = boost::json::parse(boost::json::string_view(json.data(), json.size()));
        return read(parsed.as_object());
    } catch (const record_error &) {
        throw;
    } catch (const std::exception &error) {
        throw record_error(std::string(kind) + " row: expected its JSON form, found: " + error.what());
    }
}

inline std::string textOf(const boost::json::object &object, const char *name)
{
    return std::string(object.at(name).as_string());
}

template<typename Number>
Number numberOf(const boost::json::object &object, const char *name)
{
    return object.at(name).to_number<Number>();
}

inline std::optional<time_point> optionalTimeOf(const boost::json::object &object, const char *name)
{
    const auto *found = object.if_contains(name);
    if (found == nullptr) {
        return std::nullopt;
    }
    return timeFromRow(found->to_number<std::int64_t>());
}

} // namespace banyan
