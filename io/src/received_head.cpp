#include "received_head.h"

#include "banyan/io/http_message.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace banyan {

namespace {

constexpr unsigned firstStatus = 100;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;
constexpr std::size_t mostQuotedBytes = 64; // Of a field, in a message.

/// The transfer codings of a body, in their order, as one list.
std::string codingsIn(const std::vector<http_field> &fields)
{
    std::string codings;
    for (const http_field &field : fields) {
        if (boost::beast::iequals(field.name, "Transfer-Encoding")) {
            codings.append(codings.empty() ? "" : ", ").append(field.value);
        }
    }
    return codings;
}

/// Whether a body can be read with these transfer codings. No request allows others (field TE).
bool isReadable(std::string_view codings)
{
    constexpr std::string_view separators = " \t,"; // A list may have empty elements.
    codings.remove_prefix(std::min(codings.find_first_not_of(separators), codings.size()));
    codings = codings.substr(0, codings.find_last_not_of(separators) + 1);
    return boost::beast::iequals(codings, "chunked") || boost::beast::iequals(codings, "identity");
}

} // namespace

bool isInterim(unsigned status)
{
    return status >= firstStatus && status < firstFinalStatus;
}

std::string flawOf(const http_response_head &head)
{
    if (head.status < firstStatus || head.status > lastStatus) {
        char text[64];
        std::snprintf(text, sizeof text, "expected a status from %u to %u, found %03u", firstStatus, lastStatus, head.status);
        return text;
    }
    if (head.status == switchingProtocols) {
        return "found a change of protocols that was not asked for";
    }
    if (const std::string codings = codingsIn(head.fields); !codings.empty() && !isReadable(codings)) {
        return "expected a body in chunks or not coded, found codings " + codings.substr(0, mostQuotedBytes);
    }
    return {};
}

} // namespace banyan
