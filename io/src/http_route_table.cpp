#include "http_route_table.h"

#include <charconv>

namespace banyan {

namespace {

constexpr std::string_view onePart = "{}";
constexpr std::string_view restOfPath = "{*}";

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto slash = path.find('/');
        parts.emplace_back(path.substr(0, slash));
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash);
    }
    return parts;
}

std::string joinFrom(const std::vector<std::string> &parts, std::size_t first)
{
    std::string result;
    for (std::size_t index = first; index < parts.size(); ++index) {
        result += (index == first ? "" : "/") + parts[index];
    }
    return result;
}

/// The arguments if the pattern matches the path.
std::optional<std::vector<std::string>> match(const std::vector<std::string> &pattern, const std::vector<std::string> &path)
{
    std::vector<std::string> arguments;
    for (std::size_t index = 0; index < pattern.size(); ++index) {
        if (pattern[index] == restOfPath) {
            arguments.push_back(joinFrom(path, index));
            return arguments;
        }
        if (index >= path.size()) {
            return std::nullopt;
        }
        if (pattern[index] == onePart) {
            arguments.push_back(percentDecode(path[index], false));
        } else if (pattern[index] != path[index]) {
            return std::nullopt;
        }
    }
    return pattern.size() == path.size() ? std::optional(arguments) : std::nullopt;
}

} // namespace

std::string percentDecode(std::string_view text, bool plusIsSpace)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        const char *const digits = text.data() + index + 1;
        if (text[index] == '%' && index + 2 < text.size() && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
            result += static_cast<char>(value);
            index += 2;
        } else if (text[index] == '+' && plusIsSpace) {
            result += ' ';
        } else {
            result += text[index];
        }
    }
    return result;
}

split_target split_target::parse(std::string_view target)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return {.path = std::string(target), .queryText = {}};
    }
    return {.path = std::string(target.substr(0, mark)), .queryText = std::string(target.substr(mark + 1))};
}

std::optional<std::string> split_target::query(std::string_view name) const
{
    std::string_view rest = queryText;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (percentDecode(pair.substr(0, equals), true) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1), true);
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

void http_route_table::add(const std::string &method, const std::string &pattern, http_handler handler)
{
    m_routes.push_back({.method = method, .parts = splitPath(pattern), .handler = std::move(handler)});
}

route_match http_route_table::find(std::string_view method, std::string_view path) const
{
    route_match result;
    const std::vector<std::string> parts = splitPath(path);
    for (const http_route &route : m_routes) {
        const auto arguments = match(route.parts, parts);
        if (!arguments) {
            continue;
        }
        result.pathKnown = true;
        if (route.method == method) {
            result.handler = &route.handler;
            result.arguments = *arguments;
            return result;
        }
    }
    return result;
}

} // namespace banyan
