#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/caller_key.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>

namespace banyan {

/// Asks the keeper of an organisation's pool for credits, each of which admits one request.
struct credit_ask
{
    node_id sender;
    std::uint64_t id = 0; ///< Unique at the sender.
    caller_key organisation = 0;
    std::uint32_t needed = 0; ///< For requests that wait: all of them or none.
    std::uint32_t spare = 0; ///< For requests that are expected soon.
    std::uint64_t version = 0; ///< Of the configuration that the sender has in force.

    auto operator<=>(const credit_ask &) const = default;
};

/// Answers a credit_ask.
struct credit_grant
{
    std::uint64_t id = 0;
    std::uint32_t granted = 0;
    duration wait{}; ///< If fewer than needed were granted: when to ask again.

    auto operator<=>(const credit_grant &) const = default;
};

} // namespace banyan
