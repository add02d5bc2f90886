#pragma once

#include "banyan/core/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyan {

/// Identifies a cell, a group of upstreams that share a queue: a shard of the upstreams of a pool in a failure domain.
struct cell_id
{
    pool_name pool;
    failure_domain domain; ///< Empty if the cell spans failure domains.
    std::uint32_t shard = 0;

    /// Formats the id as "pool/domain/shard", for example "advisory/sierra-a/0".
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const cell_id &) const = default;
};

} // namespace banyan
