#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

/// Authenticates datagrams by a truncated HMAC-SHA256 under the fleet's secret.
class gossip_seal
{
public:
    /// Bytes that a seal adds.
    static constexpr std::size_t overhead = 16;

    explicit gossip_seal(std::string secret);

    /// The datagram: code, then payload.
    [[nodiscard]] std::string seal(std::string_view payload) const;

    /// The payload of a datagram; none if its code is wrong.
    [[nodiscard]] std::optional<std::string_view> open(std::string_view datagram) const;

private:
    [[nodiscard]] std::string code(std::string_view payload) const;

    std::string m_secret;
};

} // namespace banyan
