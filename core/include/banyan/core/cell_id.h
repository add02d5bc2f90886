#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// A group of upstreams with one queue before them: one pool, one failure domain, one shard of those.
struct cell_id
{
    pool_name pool;
    failure_domain domain;
    std::uint32_t shard = 0;

    /// For example "advisory/sierra-a/0".
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const cell_id &) const = default;
};

} // namespace banyan
