#include "banyan/io/gossip_seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <utility>

namespace banyan {

gossip_seal::gossip_seal(std::string secret)
    : m_secret(std::move(secret))
{
}

std::string gossip_seal::seal(std::string_view payload) const
{
    std::string result = code(payload);
    result += payload;
    return result;
}

std::optional<std::string_view> gossip_seal::open(std::string_view datagram) const
{
    if (datagram.size() < overhead) {
        return std::nullopt;
    }
    const std::string_view payload = datagram.substr(overhead);
    const std::string expected = code(payload);
    if (CRYPTO_memcmp(expected.data(), datagram.data(), overhead) != 0) {
        return std::nullopt;
    }
    return payload;
}

std::string gossip_seal::code(std::string_view payload) const
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         m_secret.data(),
         static_cast<int>(m_secret.size()),
         reinterpret_cast<const unsigned char *>(payload.data()),
         payload.size(),
         digest,
         &length);
    return {reinterpret_cast<const char *>(digest), overhead};
}

} // namespace banyan
