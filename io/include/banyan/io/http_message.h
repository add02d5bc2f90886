#pragma once

#include "banyan/io/answer_framing.h"

#include <string>
#include <vector>

namespace banyan {

/// A header field of an HTTP message.
struct http_field
{
    std::string name;
    std::string value;

    auto operator<=>(const http_field &) const = default;
};

/// A request to be sent to an outside system.
struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_field> fields; ///< Host and Content-Length are added.
    std::string body;

    auto operator<=>(const http_request &) const = default;
};

/// The head of an answer that was received.
struct http_response_head
{
    unsigned status = 0;
    std::vector<http_field> fields;
    answer_framing framing = answer_framing::Length;
    bool isFirstOnConnection = true; ///< It cannot be a late copy of an earlier answer.

    /// The value of the first field of that name; empty if there is none.
    [[nodiscard]] std::string field(const std::string &name) const;

    auto operator<=>(const http_response_head &) const = default;
};

/// The framing of an answer with these fields, as its sender gave them.
[[nodiscard]] answer_framing framingOf(unsigned status, const std::vector<http_field> &fields);

/// A whole answer.
struct http_response
{
    unsigned status = 200;
    std::vector<http_field> fields;
    std::string body;
    answer_framing framing = answer_framing::Length; ///< How it was received.

    /// The value of the first field of that name, without regard to case; empty if there is none.
    [[nodiscard]] std::string field(const std::string &name) const;

    auto operator<=>(const http_response &) const = default;
};

} // namespace banyan
