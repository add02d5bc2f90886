#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace banyan {

/// Whether an upstream receives work.
enum class upstream_condition {
    Good,
    Ejected, ///< Much slower than the others, or failing; receives nothing for a time.
    Probing, ///< One request at a time shows whether it has recovered.
    Leaving, ///< Receives no new work; work in progress goes on.
};

/// The condition's name in logs and metrics, for example "ejected".
[[nodiscard]] constexpr std::string_view toString(upstream_condition value)
{
    switch (value) {
    case upstream_condition::Good:
        return "good";
    case upstream_condition::Ejected:
        return "ejected";
    case upstream_condition::Probing:
        return "probing";
    case upstream_condition::Leaving:
        return "leaving";
    }
    return "unknown";
}

/// An upstream as its dispatcher sees it; for metrics and for explaining decisions.
struct upstream_status
{
    upstream_id id;
    upstream_condition condition = upstream_condition::Good;
    std::uint32_t onlineInFlight = 0;
    std::uint32_t batchInFlight = 0;
    std::uint32_t limit = 0; ///< Requests that it may hold before batch work has to yield.
    std::uint32_t onlineLimit = 0; ///< Online requests that it may hold.
    std::uint32_t onlineLongInFlight = 0; ///< Online requests that run much longer than most.
    std::uint32_t onlineLongLimit = 0; ///< How many of them it may hold.
    duration firstByte{}; ///< Moving average of the time to the first byte.

    auto operator<=>(const upstream_status &) const = default;
};

} // namespace banyan
