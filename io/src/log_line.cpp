#include "banyan/io/log_line.h"

#include <algorithm>
#include <sstream>

namespace banyan {

namespace {

constexpr std::string_view timeMark = "time=";

/// Takes the next key=value pair off the text. Values may be quoted, with backslashes before quotes and backslashes.
bool takeField(std::string_view &text, std::pair<std::string, std::string> &field)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
        return false;
    }
    field.first = std::string(text.substr(0, equals));
    field.second.clear();
    text.remove_prefix(equals + 1);
    const bool quoted = text.starts_with('"');
    std::size_t position = quoted ? 1 : 0;
    for (; position < text.size() && text[position] != (quoted ? '"' : ' '); ++position) {
        if (quoted && text[position] == '\\' && position + 1 < text.size()) {
            ++position;
        }
        field.second += text[position];
    }
    text.remove_prefix(std::min(text.size(), position + (quoted ? 1 : 0)));
    return true;
}

/// Seconds of the day, of a time like 2026-12-04T03:00:00.000001Z.
double secondsOf(const std::string &time)
{
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    char separator = 0;
    std::istringstream text(time.substr(std::min(time.size(), time.find('T') + 1)));
    text >> hours >> separator >> minutes >> separator >> seconds;
    return hours * 3600 + minutes * 60 + seconds;
}

} // namespace

std::string log_line::value(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto &field) {
        return field.first == name;
    });
    return found == fields.end() ? std::string() : found->second;
}

std::string log_line::upstream() const
{
    const std::string named = value("upstream");
    return named.empty() ? value("row") : named;
}

std::optional<log_line> log_line::parse(std::string_view line)
{
    const std::size_t begin = line.find(timeMark);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    log_line result;
    std::string_view source = line.substr(0, begin);
    source.remove_prefix(std::min(source.find_first_not_of(' '), source.size()));
    result.source = std::string(source.substr(0, source.find_last_not_of(' ') + 1));
    line.remove_prefix(begin);
    std::pair<std::string, std::string> field;
    while (takeField(line, field)) {
        if (field.first == "time") {
            result.seconds = secondsOf(field.second);
        } else if (field.first == "event") {
            result.event = field.second;
        } else if (field.first != "level") {
            result.fields.push_back(field);
        }
    }
    return result.event.empty() ? std::nullopt : std::optional(std::move(result));
}

} // namespace banyan
