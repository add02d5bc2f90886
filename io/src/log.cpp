#include "banyan/io/log.h"

#include "banyan/core/time_text.h"

#include <easylogging++.h>

#include <chrono>
#include <cstdio>

INITIALIZE_EASYLOGGINGPP

namespace banyan {

namespace {

constexpr const char *dispatcherName = "standard-error";

/// Writes each line to standard error in one call, so that lines of several threads do not mix.
class standard_error_dispatcher : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const std::string line = data->logMessage()->message() + "\n";
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
};

log_level &leastLevel()
{
    static log_level level = log_level::Info;
    return level;
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
    leastLevel() = least;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<standard_error_dispatcher>(dispatcherName);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < leastLevel()) {
        return;
    }
    std::string line = "time=" + toIsoText(std::chrono::time_point_cast<duration>(std::chrono::system_clock::now()));
    line.append(" level=").append(levelName(level)).append(" event=").append(event);
    for (const log_field &field : fields) {
        line.append(" ").append(field.name).append("=");
        appendValue(line, field.value);
    }
    write(level, line);
}

} // namespace banyan
