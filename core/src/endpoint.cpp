#include "banyan/core/endpoint.h"

#include <arpa/inet.h>

#include <charconv>
#include <stdexcept>

namespace banyan {

namespace {

[[noreturn]] void throwInvalidEndpoint(const std::string &text)
{
    throw std::invalid_argument("expected IP-number:port, for example 127.0.0.1:8080 or [::1]:8080, found \"" + text + "\"");
}

bool isIpAddress(const std::string &address)
{
    unsigned char bytes[sizeof(in6_addr)];
    return inet_pton(AF_INET, address.c_str(), bytes) == 1 || inet_pton(AF_INET6, address.c_str(), bytes) == 1;
}

std::string withoutBrackets(const std::string &host)
{
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return host.substr(1, host.size() - 2);
    }
    return host;
}

} // namespace

endpoint endpoint::parse(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throwInvalidEndpoint(text);
    }
    endpoint result;
    const std::string host = text.substr(0, colon);
    result.address = withoutBrackets(host);
    const bool needsBrackets = result.address.find(':') != std::string::npos;
    const bool hasBrackets = result.address.size() != host.size();
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, result.port);
    if (error != std::errc() || rest != end || needsBrackets != hasBrackets || !isIpAddress(result.address)) {
        throwInvalidEndpoint(text);
    }
    return result;
}

std::string endpoint::toString() const
{
    const bool needsBrackets = address.find(':') != std::string::npos;
    return (needsBrackets ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

} // namespace banyan
