#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace banyan {

/// How much an event matters.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// One key=value pair of a log line.
struct log_field
{
    std::string_view name;
    std::string value; ///< Quoted and escaped where it has to be.
};

/// Prepares the log; events below @p least are dropped. Lines go to standard error, never to a file.
void configureLog(log_level least);

/// Writes one line: time, level, event and the fields, each as key=value.
///
/// @code
/// logEvent(log_level::Info, "attempt_started", {{"request_id", id.text()}, {"upstream", upstream.text()}});
/// // time=2026-12-04T03:00:00.000001Z level=info event=attempt_started request_id=r-1 upstream=u1
/// @endcode
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace banyan
