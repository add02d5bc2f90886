#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// An IP address in numbers and a port.
struct endpoint
{
    std::string address; ///< For example "127.0.0.1" or "::1".
    std::uint16_t port = 0; ///< 0 where none is set.

    /// Reads "address:port", with an IPv6 address in brackets.
    /// @throws std::invalid_argument if @p text has no port or the address is not an IP number.
    [[nodiscard]] static endpoint parse(const std::string &text);

    /// The form that parse() reads.
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const endpoint &) const = default;
};

} // namespace banyan
