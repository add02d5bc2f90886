#pragma once

#include "banyan/core/serving/key_digest.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

namespace banyan {

/// Turns the keys of organisations into digests: HMAC-SHA256 under a secret that each process draws for itself. Whoever reads the
/// digests, but not the secret, cannot try out keys.
class key_digester
{
public:
    using secret = std::array<std::uint8_t, 32>;

    explicit key_digester(const secret &drawn);
    ~key_digester();
    key_digester(const key_digester &) = delete;
    key_digester &operator=(const key_digester &) = delete;

    /// @throws std::runtime_error if the cryptographic library fails
    [[nodiscard]] key_digest digest(std::string_view key) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
