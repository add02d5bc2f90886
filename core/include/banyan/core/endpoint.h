#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// A numeric IP address and a port.
struct endpoint
{
    std::string address; ///< For example "127.0.0.1" or "::1".
    std::uint16_t port = 0; ///< 0 if not set.

    /// Parses "address:port", with an IPv6 address in brackets.
    /// @throws std::invalid_argument if @p text has no valid port or the address is not a numeric IP address.
    [[nodiscard]] static endpoint parse(const std::string &text);

    /// Formats the endpoint in the form that parse() accepts.
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const endpoint &) const = default;
};

} // namespace banyan
