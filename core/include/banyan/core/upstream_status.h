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
    Ejected, ///< Much slower than the others, or failing; receives no work until its ejection ends.
    Probing, ///< Receives one request at a time to test whether it has recovered.
    Leaving, ///< Receives no new work; attempts in flight continue.
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

/// State of an upstream in its dispatcher, for metrics and for explaining decisions.
struct upstream_status
{
    upstream_id id;
    upstream_condition condition = upstream_condition::Good;
    std::uint32_t onlineInFlight = 0;
    std::uint32_t batchInFlight = 0;
    std::uint32_t limit = 0; ///< Requests in flight above which online work preempts batch work.
    std::uint32_t onlineLimit = 0; ///< Maximum of online requests in flight.
    std::uint32_t onlineLongInFlight = 0; ///< Online requests in flight that count as long.
    std::uint32_t onlineLongLimit = 0; ///< Maximum of long online requests in flight.
    duration firstByte{}; ///< Moving average of the time to the first byte.

    auto operator<=>(const upstream_status &) const = default;
};

} // namespace banyan
