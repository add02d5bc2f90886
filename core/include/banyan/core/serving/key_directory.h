#pragma once

#include "banyan/core/serving/organisation.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace banyan {

/// Finds the organisation that holds a key. Refers to the organisations that it was built from.
class key_directory
{
public:
    /// @p organisations must outlive the directory and keep their places. A key that several of them name is the first one's.
    key_directory(const std::vector<organisation> &organisations, bool requiresKeys);

    /// The holder of the key with this digest; null if nobody holds it.
    [[nodiscard]] const organisation *find(const key_digest &digest) const;

    /// Whether requests on routes that are not public need a key.
    [[nodiscard]] bool requiresKeys() const
    {
        return m_requiresKeys;
    }

private:
    /// Digests are distributed evenly already.
    struct digest_hash
    {
        std::size_t operator()(const key_digest &digest) const noexcept;
    };

    bool m_requiresKeys;
    std::unordered_map<key_digest, const organisation *, digest_hash> m_holders;
};

} // namespace banyan
