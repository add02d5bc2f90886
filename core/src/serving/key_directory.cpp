#include "banyan/core/serving/key_directory.h"

#include <cstring>

namespace banyan {

std::size_t key_directory::digest_hash::operator()(const key_digest &digest) const noexcept
{
    std::size_t result = 0;
    std::memcpy(&result, digest.data(), sizeof result);
    return result;
}

key_directory::key_directory(const std::vector<organisation> &organisations, bool requiresKeys)
    : m_requiresKeys(requiresKeys)
{
    for (const organisation &holder : organisations) {
        for (const key_digest &digest : holder.keys) {
            m_holders.try_emplace(digest, &holder);
        }
    }
}

const organisation *key_directory::find(const key_digest &digest) const
{
    const auto found = m_holders.find(digest);
    return found == m_holders.end() ? nullptr : found->second;
}

} // namespace banyan
