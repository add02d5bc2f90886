#pragma once

#include <cstdint>
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

/// Where lines go, never to a file.
enum class log_target {
    StandardError,
    StandardOutput, ///< Without blocking: what the reader does not take in time is left out and counted.
};

/// Options of the log.
struct log_options
{
    log_level least = log_level::Info; ///< Events below it are dropped.
    log_target target = log_target::StandardError;
    std::uint32_t linesPerSecond = 0; ///< More are left out and counted; errors and warnings are not. 0 for no limit.
};

/// Prepares the log.
void configureLog(const log_options &options);

/// Prepares the log with lines to standard error.
void configureLog(log_level least);

/// Writes one line: time, level, event and the fields, each as key=value. The first line after others were left out says how
/// many, as left_out.
///
/// @code
/// logEvent(log_level::Info, "attempt_started", {{"request_id", id.text()}, {"upstream", upstream.text()}});
/// // time=2026-12-04T03:00:00.000001Z level=info event=attempt_started request_id=r-1 upstream=u1
/// @endcode
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace banyan
