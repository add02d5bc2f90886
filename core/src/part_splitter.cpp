#include "banyan/core/part_splitter.h"

namespace banyan {

namespace {

bool isBlank(std::string_view line)
{
    return line.find_first_not_of(" \t\r") == std::string_view::npos;
}

} // namespace

part_splitter::part_splitter(const part_splitter_options &options)
    : m_options(options)
{
}

std::vector<std::string> part_splitter::add(std::string_view piece)
{
    std::vector<std::string> parts;
    while (!piece.empty()) {
        const std::size_t lineFeed = piece.find('\n');
        const std::size_t taken = lineFeed == std::string_view::npos ? piece.size() : lineFeed + 1;
        m_part.append(piece.substr(0, taken));
        piece.remove_prefix(taken);
        if (m_part.size() - m_lineStart > m_options.maximumLineBytes) {
            throw line_too_long("expected lines of at most " + std::to_string(m_options.maximumLineBytes) + " bytes");
        }
        if (lineFeed == std::string_view::npos) {
            break;
        }
        m_lineStart = m_part.size();
        if (m_part.size() >= m_options.partBytes) {
            parts.push_back(*finish());
        }
    }
    return parts;
}

std::optional<std::string> part_splitter::finish()
{
    if (m_part.empty()) {
        return std::nullopt;
    }
    m_lineStart = 0;
    return std::exchange(m_part, {});
}

std::vector<std::string_view> itemLines(std::string_view part)
{
    std::vector<std::string_view> lines;
    while (!part.empty()) {
        const std::size_t lineFeed = part.find('\n');
        std::string_view line = part.substr(0, lineFeed);
        part.remove_prefix(lineFeed == std::string_view::npos ? part.size() : lineFeed + 1);
        if (isBlank(line)) {
            continue;
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        lines.push_back(line);
    }
    return lines;
}

file_part describePart(std::string_view part)
{
    return {.bytes = static_cast<std::uint32_t>(part.size()), .items = static_cast<std::uint32_t>(itemLines(part).size())};
}

} // namespace banyan
