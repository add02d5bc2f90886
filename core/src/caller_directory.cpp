#include "banyan/core/caller_directory.h"

#include "banyan/core/sha256.h"

namespace banyan {

caller_directory::caller_directory(const configuration &source)
{
    for (const auto &[id, caller] : source.callers) {
        for (const std::string &hash : caller.keyHashes) {
            m_callers.emplace(hash, id);
        }
    }
}

std::optional<caller_id> caller_directory::find(std::string_view key) const
{
    const auto found = m_callers.find(sha256Hex(key));
    return found == m_callers.end() ? std::nullopt : std::optional(found->second);
}

} // namespace banyan
