#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// A form that does not follow multipart/form-data.
class multipart_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Something that a multipart_parser found, in order: the head of a form field, then any number of its pieces.
struct multipart_event
{
    bool head = false; ///< Whether a field begins; else @ref text is the next piece of the current one.
    std::string text; ///< The field's name, or the piece.
    std::optional<std::string> fileName; ///< With a head: the file's name, if the field is a file.

    auto operator<=>(const multipart_event &) const = default;
};

/// Reads a multipart/form-data body (RFC 7578) as it arrives; holds less than a boundary and a field's head.
class multipart_parser
{
public:
    /// @p contentType is the value of the Content-Type field, with its boundary. @throws multipart_error
    explicit multipart_parser(std::string_view contentType);

    /// Takes in the next piece of the body. @throws multipart_error
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
    std::string m_delimiter; ///< CR LF "--" and the boundary.
    std::string m_buffer;
};

} // namespace banyan
