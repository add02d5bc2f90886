#pragma once

#include "banyan/core/file_record.h"

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Options of a part_splitter.
struct part_splitter_options
{
    std::size_t partBytes = std::size_t(1) << 20; ///< A part ends with the first line that reaches this size.
    std::size_t maximumLineBytes = std::size_t(4) << 20; ///< Longest line that is accepted.
};

/// Thrown if a line is longer than part_splitter_options::maximumLineBytes.
class line_too_long : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Splits a stream of lines into parts at line ends. The parts depend only on the content and not on the pieces in which
/// it arrives, so that equal content gives equal parts. Buffers at most one part and one line.
///
/// @code
/// part_splitter splitter({});
/// for each piece:
///     for (const std::string &part : splitter.add(piece)) store(part);
/// if (auto part = splitter.finish()) store(*part);
/// @endcode
class part_splitter
{
public:
    explicit part_splitter(const part_splitter_options &options);

    /// Adds a piece of the stream and returns the parts that it completes. @throws line_too_long
    [[nodiscard]] std::vector<std::string> add(std::string_view piece);

    /// Returns the last part; none if no bytes are left.
    [[nodiscard]] std::optional<std::string> finish();

private:
    part_splitter_options m_options;
    std::string m_part;
    std::size_t m_lineStart = 0; ///< Offset of the last, incomplete line in m_part.
};

/// The lines of a part that are not blank, without their line ends. The views refer to the memory of @p part.
[[nodiscard]] std::vector<std::string_view> itemLines(std::string_view part);

/// Size and number of items of a part.
[[nodiscard]] file_part describePart(std::string_view part);

} // namespace banyan
