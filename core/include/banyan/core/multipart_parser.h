#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// Thrown if a body is not valid multipart/form-data.
class multipart_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// An event of a multipart_parser. Each form field yields one event for its head, then any number of content pieces.
struct multipart_event
{
    bool head = false; ///< Whether a field begins; otherwise @ref text is the next piece of the current field.
    std::string text; ///< The field's name or the piece of content.
    std::optional<std::string> fileName; ///< The file's name if this is the head of a file field.

    auto operator<=>(const multipart_event &) const = default;
};

/// Incremental parser of a multipart/form-data body (RFC 7578). Buffers at most a boundary and the head of a field.
class multipart_parser
{
public:
    /// @p contentType is the value of the Content-Type field, with its boundary. @throws multipart_error
    explicit multipart_parser(std::string_view contentType);

    /// Parses the next piece of the body and returns its events. @throws multipart_error
    [[nodiscard]] std::vector<multipart_event> add(std::string_view piece);

    /// Whether the closing boundary has been read.
    [[nodiscard]] bool complete() const
    {
        return m_state == state::Epilogue;
    }

private:
    enum class state {
        Preamble,
        AfterBoundary,
        Head,
        Content,
        Epilogue,
    };

    bool step(std::vector<multipart_event> &events);
    bool stepPreamble();
    bool stepAfterBoundary();
    bool stepHead(std::vector<multipart_event> &events);
    bool stepContent(std::vector<multipart_event> &events);

    state m_state = state::Preamble;
    std::string m_delimiter; ///< CR LF, "--" and the boundary.
    std::string m_buffer;
};

} // namespace banyan
