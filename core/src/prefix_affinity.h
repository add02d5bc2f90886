#pragma once

#include "banyan/core/identifier.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace banyan {

/// Remembers which upstream last ran a prompt prefix, so that its prefix cache is used again.
class prefix_affinity
{
public:
    /// Keeps the @p capacity most recently used prefixes.
    explicit prefix_affinity(std::size_t capacity);

    /// Notes that @p upstream runs a request with this prefix; 0 is no prefix.
    void recordRun(std::uint64_t prefix, const upstream_id &upstream);

    /// The upstream that last ran the prefix; null if it is not known.
    [[nodiscard]] const upstream_id *upstreamOf(std::uint64_t prefix) const;

private:
    struct entry
    {
        std::uint64_t prefix = 0;
        upstream_id upstream;
    };

    std::size_t m_capacity;
    std::list<entry> m_entries; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> m_index;
};

} // namespace banyan
