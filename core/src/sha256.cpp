#include "banyan/core/sha256.h"

#include <openssl/sha.h>

namespace banyan {

std::string sha256Hex(std::string_view text)
{
    static constexpr char digits[] = "0123456789abcdef";
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest);
    std::string result;
    result.reserve(2 * sizeof(digest));
    for (const unsigned char byte : digest) {
        result += digits[byte >> 4U];
        result += digits[byte & 0xfU];
    }
    return result;
}

} // namespace banyan
