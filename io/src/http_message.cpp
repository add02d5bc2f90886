#include "banyan/io/http_message.h"

#include <boost/beast/core/string.hpp>

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>

namespace banyan {

namespace {

constexpr unsigned firstStatusWithBody = 200;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;

std::string valueOf(const std::vector<http_field> &fields, const std::string &name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const http_field &candidate) {
        return boost::beast::iequals(candidate.name, name);
    });
    return found == fields.end() ? std::string() : found->value;
}

} // namespace

answer_framing framingOf(unsigned status, const std::vector<http_field> &fields)
{
    if (boost::beast::http::token_list(valueOf(fields, "Transfer-Encoding")).exists("chunked")) {
        return answer_framing::Chunks;
    }
    const bool hasBody = status >= firstStatusWithBody && status != noContent && status != notModified;
    return hasBody && valueOf(fields, "Content-Length").empty() ? answer_framing::ConnectionEnd : answer_framing::Length;
}

std::string http_response_head::field(const std::string &name) const
{
    return valueOf(fields, name);
}

std::string http_response::field(const std::string &name) const
{
    return valueOf(fields, name);
}

} // namespace banyan
