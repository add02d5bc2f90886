#pragma once

#include <string_view>

namespace banyan {

/// What marks the end of an HTTP answer's body on the wire.
enum class answer_framing {
    Length, ///< A Content-Length, or a status or method without a body.
    Chunks, ///< A last chunk.
    ConnectionEnd, ///< Nothing but the end of the connection: an answer that was broken off can look like a whole one.
};

/// The framing's name in logs, for example "chunks".
[[nodiscard]] constexpr std::string_view toString(answer_framing value)
{
    switch (value) {
    case answer_framing::Length:
        return "length";
    case answer_framing::Chunks:
        return "chunks";
    case answer_framing::ConnectionEnd:
        return "connection_end";
    }
    return "unknown";
}

/// Whether an answer that ended without an error is known to be whole.
[[nodiscard]] constexpr bool provesEnd(answer_framing framing)
{
    return framing != answer_framing::ConnectionEnd;
}

} // namespace banyan
