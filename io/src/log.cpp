#include "banyan/io/log.h"

#include "banyan/core/time_text.h"

#include <easylogging++.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace banyan {

namespace {

constexpr const char *dispatcherName = "lines";

/// What the log has been told, and what it has left out.
struct log_state
{
    log_options options;
    std::chrono::steady_clock::time_point second; ///< Begin of the second that linesInSecond counts.
    std::uint32_t linesInSecond = 0;
    std::uint64_t leftOut = 0;
};

log_state &state()
{
    static log_state value;
    return value;
}

/// Writes each line in one call, so that lines of several threads do not mix.
class line_dispatcher : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const std::string line = data->logMessage()->message() + "\n";
        if (state().options.target == log_target::StandardError) {
            std::fwrite(line.data(), 1, line.size(), stderr);
        } else if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++state().leftOut;
        }
    }
};

/// Whether a line of that level is within the limit of lines a second.
bool admits(log_level level)
{
    log_state &log = state();
    if (log.options.linesPerSecond == 0 || level >= log_level::Warning) {
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - log.second >= std::chrono::seconds(1)) {
        log.second = now;
        log.linesInSecond = 0;
    }
    if (++log.linesInSecond > log.options.linesPerSecond) {
        ++log.leftOut;
        return false;
    }
    return true;
}

std::string_view levelName(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "unknown";
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string::npos;
}

void appendEscaped(std::string &line, char character)
{
    switch (character) {
    case '\n':
        line += "\\n";
        return;
    case '\r':
        line += "\\r";
        return;
    case '\t':
        line += "\\t";
        return;
    case '"':
    case '\\':
        line += '\\';
        line += character;
        return;
    default:
        line += static_cast<unsigned char>(character) < 0x20 ? '?' : character;
    }
}

void appendValue(std::string &line, const std::string &value)
{
    const bool quotes = needsQuotes(value);
    line += quotes ? "\"" : "";
    for (const char character : value) {
        appendEscaped(line, character);
    }
    line += quotes ? "\"" : "";
}

void write(log_level level, const std::string &line)
{
    switch (level) {
    case log_level::Debug:
    case log_level::Info:
        LOG(INFO) << line;
        return;
    case log_level::Warning:
        LOG(WARNING) << line;
        return;
    case log_level::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace

void configureLog(log_level least)
{
    configureLog(log_options{.least = least});
}

void configureLog(const log_options &options)
{
    state().options = options;
    if (options.target == log_target::StandardOutput) {
        ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<line_dispatcher>(dispatcherName);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < state().options.least || !admits(level)) {
        return;
    }
    std::string line = "time=" + toIsoText(std::chrono::time_point_cast<duration>(std::chrono::system_clock::now()));
    line.append(" level=").append(levelName(level)).append(" event=").append(event);
    for (const log_field &field : fields) {
        line.append(" ").append(field.name).append("=");
        appendValue(line, field.value);
    }
    if (const std::uint64_t leftOut = std::exchange(state().leftOut, 0); leftOut > 0) {
        line.append(" left_out=").append(std::to_string(leftOut));
    }
    write(level, line);
}

} // namespace banyan
