#include "banyan/io/operator_identity.h"

#include "banyan/core/sha256.h"

#include <algorithm>

namespace banyan {

std::optional<operator_identity>
identifyOperator(const std::string &key, const configuration &current, const std::optional<std::string> &bootstrapKeyHash)
{
    if (key.empty()) {
        return std::nullopt;
    }
    const std::string hash = sha256Hex(key);
    if (hash == bootstrapKeyHash) {
        return operator_identity{.id = operator_id("bootstrap"), .role = operator_role::Editor};
    }
    for (const auto &[id, settings] : current.operators) {
        if (std::ranges::find(settings.keyHashes, hash) != settings.keyHashes.end()) {
            return operator_identity{.id = id, .role = settings.role};
        }
    }
    return std::nullopt;
}

} // namespace banyan
