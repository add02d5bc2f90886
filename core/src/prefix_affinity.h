#pragma once

#include "banyan/core/identifier.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace banyan {

/// Maps prompt prefixes to the upstreams that last ran them, so that requests can reuse an upstream's prefix cache.
class prefix_affinity
{
public:
    /// Keeps the @p capacity most recently used prefixes.
    explicit prefix_affinity(std::size_t capacity);

    /// Records that @p upstream runs a request with this prefix; 0 means no prefix.
    void recordRun(std::uint64_t prefix, const upstream_id &upstream);

    /// The upstream that last ran the prefix; null if none is recorded.
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
