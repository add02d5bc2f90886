#include "banyan/core/serving/key_digester.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <stdexcept>

namespace banyan {

namespace {

void check(bool succeeded)
{
    if (!succeeded) {
        throw std::runtime_error("libcrypto could not compute an HMAC-SHA256");
    }
}

} // namespace

/// Keeps the library's context with the secret in it, which costs more to prepare than a digest.
class key_digester::implementation
{
public:
    explicit implementation(const secret &drawn)
        : m_algorithm(EVP_MAC_fetch(nullptr, "HMAC", nullptr), EVP_MAC_free)
        , m_context(EVP_MAC_CTX_new(m_algorithm.get()), EVP_MAC_CTX_free)
    {
        char hash[] = "SHA256";
        const std::array<OSSL_PARAM, 2> parameters = {OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, hash, 0),
                                                      OSSL_PARAM_construct_end()};
        check(m_context != nullptr && EVP_MAC_init(m_context.get(), drawn.data(), drawn.size(), parameters.data()) == 1);
    }

    key_digest digest(std::string_view key)
    {
        key_digest result{};
        std::size_t size = 0;
        check(EVP_MAC_init(m_context.get(), nullptr, 0, nullptr) == 1); // Begins anew under the same secret.
        check(EVP_MAC_update(m_context.get(), reinterpret_cast<const unsigned char *>(key.data()), key.size()) == 1);
        check(EVP_MAC_final(m_context.get(), result.data(), &size, result.size()) == 1 && size == result.size());
        return result;
    }

private:
    std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> m_algorithm;
    std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> m_context;
};

key_digester::key_digester(const secret &drawn)
    : m_implementation(std::make_unique<implementation>(drawn))
{
}

key_digester::~key_digester() = default;

key_digest key_digester::digest(std::string_view key) const
{
    return m_implementation->digest(key);
}

} // namespace banyan
