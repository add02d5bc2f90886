#include "banyan/core/multipart_parser.h"

#include <algorithm>
#include <cctype>

namespace banyan {

namespace {

constexpr std::size_t maximumHeadBytes = 8192;
constexpr std::size_t maximumBoundaryBytes = 70;
constexpr std::string_view lineEnd = "\r\n";

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return result;
}

/// The value of a header parameter, as in `form-data; name="file"; filename="a.jsonl"`, with or without quotes.
std::optional<std::string> parameterOf(std::string_view text, std::string_view name)
{
    const std::string lower = lowerCase(text);
    const std::string wanted = std::string(name) + "=";
    std::size_t position = lower.find(wanted);
    while (position != std::string::npos && position > 0 && lower[position - 1] != ' ' && lower[position - 1] != ';') {
        position = lower.find(wanted, position + 1);
    }
    if (position == std::string::npos) {
        return std::nullopt;
    }
    std::string_view value = text.substr(position + wanted.size());
    if (value.starts_with('"')) {
        value.remove_prefix(1);
        return std::string(value.substr(0, value.find('"')));
    }
    return std::string(value.substr(0, value.find_first_of("; \r\n")));
}

multipart_event parseHead(std::string_view head)
{
    while (!head.empty()) {
        const std::size_t end = head.find(lineEnd);
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end == std::string_view::npos ? head.size() : end + lineEnd.size());
        if (!lowerCase(line).starts_with("content-disposition:")) {
            continue;
        }
        const auto name = parameterOf(line, "name");
        if (!name) {
            break;
        }
        return {.head = true, .text = *name, .fileName = parameterOf(line, "filename")};
    }
    throw multipart_error("expected a Content-Disposition with a name in each part of the form");
}

} // namespace

multipart_parser::multipart_parser(std::string_view contentType)
    : m_buffer(lineEnd)
{
    const auto boundary = parameterOf(contentType, "boundary");
    if (!lowerCase(contentType).starts_with("multipart/form-data") || !boundary || boundary->empty()
        || boundary->size() > maximumBoundaryBytes) {
        throw multipart_error("expected the content type multipart/form-data with a boundary");
    }
    m_delimiter = std::string(lineEnd) + "--" + *boundary;
}

std::vector<multipart_event> multipart_parser::add(std::string_view piece)
{
    std::vector<multipart_event> events;
    m_buffer.append(piece);
    while (step(events)) {
    }
    return events;
}

bool multipart_parser::step(std::vector<multipart_event> &events)
{
    switch (m_state) {
    case state::Preamble:
        return stepPreamble();
    case state::AfterBoundary:
        return stepAfterBoundary();
    case state::Head:
        return stepHead(events);
    case state::Content:
        return stepContent(events);
    case state::Epilogue:
        m_buffer.clear();
        return false;
    }
    return false;
}

bool multipart_parser::stepPreamble()
{
    const std::size_t found = m_buffer.find(m_delimiter);
    if (found == std::string::npos) {
        if (m_buffer.size() > maximumHeadBytes) {
            throw multipart_error("expected the form's boundary");
        }
        return false;
    }
    m_buffer.erase(0, found + m_delimiter.size());
    m_state = state::AfterBoundary;
    return true;
}

bool multipart_parser::stepAfterBoundary()
{
    if (m_buffer.size() < lineEnd.size()) {
        return false;
    }
    if (m_buffer.starts_with("--")) {
        m_state = state::Epilogue;
        return true;
    }
    if (!m_buffer.starts_with(lineEnd)) {
        throw multipart_error("expected a line end after the form's boundary");
    }
    m_buffer.erase(0, lineEnd.size());
    m_state = state::Head;
    return true;
}

bool multipart_parser::stepHead(std::vector<multipart_event> &events)
{
    const std::size_t end = m_buffer.find("\r\n\r\n");
    if (end == std::string::npos || end > maximumHeadBytes) {
        if (m_buffer.size() > maximumHeadBytes) {
            throw multipart_error("expected a shorter head of a part of the form");
        }
        return false;
    }
    events.push_back(parseHead(std::string_view(m_buffer).substr(0, end)));
    m_buffer.erase(0, end + 2 * lineEnd.size());
    m_state = state::Content;
    return true;
}

bool multipart_parser::stepContent(std::vector<multipart_event> &events)
{
    const std::size_t found = m_buffer.find(m_delimiter);
    if (found != std::string::npos) {
        if (found > 0) {
            events.push_back({.head = false, .text = m_buffer.substr(0, found), .fileName = std::nullopt});
        }
        m_buffer.erase(0, found + m_delimiter.size());
        m_state = state::AfterBoundary;
        return true;
    }
    const std::size_t kept = std::min(m_buffer.size(), m_delimiter.size() - 1);
    const std::size_t ready = m_buffer.size() - kept;
    if (ready > 0) {
        events.push_back({.head = false, .text = m_buffer.substr(0, ready), .fileName = std::nullopt});
        m_buffer.erase(0, ready);
    }
    return false;
}

} // namespace banyan
