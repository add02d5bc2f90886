#include "received_head.h"

#include "banyan/io/http_message.h"

#include <cstdio>

namespace banyan {

namespace {

constexpr unsigned firstStatus = 100;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

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
    return head.status == switchingProtocols ? "found a change of protocols that was not asked for" : std::string();
}

} // namespace banyan
