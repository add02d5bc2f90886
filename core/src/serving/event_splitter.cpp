#include "banyan/core/serving/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace banyan {

namespace {

/// The position behind the empty line that ends the first event of @p text; npos if there is none at or after @p from.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    const std::size_t lf = text.find("\n\n", from);
    const std::size_t crlf = text.find("\r\n\r\n", from);
    if (lf == std::string_view::npos && crlf == std::string_view::npos) {
        return std::string_view::npos;
    }
    return lf < crlf ? lf + 2 : crlf + 4;
}

std::string_view withoutLeadingSpace(std::string_view value)
{
    return value.starts_with(' ') ? value.substr(1) : value;
}

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

stream_event parseEvent(std::string_view bytes)
{
    stream_event event{.id = std::nullopt, .data = {}, .bytes = std::string(bytes)};
    bool hasData = false;
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        std::string_view line = bytes.substr(0, end);
        bytes = end == std::string_view::npos ? std::string_view() : bytes.substr(end + 1);
        line = line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
        if (line.starts_with("id:")) {
            event.id = numberOf(withoutLeadingSpace(line.substr(3)));
        } else if (line.starts_with("data:")) {
            event.data.append(hasData ? "\n" : "").append(withoutLeadingSpace(line.substr(5)));
            hasData = true;
        }
    }
    return event;
}

} // namespace

std::vector<stream_event> event_splitter::add(std::string_view bytes)
{
    constexpr std::size_t terminatorSize = 4; // Longest terminator of an event, which may be split between two calls.
    const std::size_t searched = m_pending.size() - std::min(m_pending.size(), terminatorSize);
    m_pending += bytes;
    std::vector<stream_event> events;
    std::string_view rest = m_pending;
    for (std::size_t end = endOfEvent(rest, searched); end != std::string_view::npos; end = endOfEvent(rest, 0)) {
        events.push_back(parseEvent(rest.substr(0, end)));
        rest.remove_prefix(end);
    }
    m_pending.erase(0, m_pending.size() - rest.size());
    return events;
}

} // namespace banyan
