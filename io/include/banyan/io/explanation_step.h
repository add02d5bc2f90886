#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/time.h"

#include <compare>
#include <optional>
#include <string>

namespace banyan {

/// One decision on a request.
struct explanation_step
{
    time_point time;
    std::string decision; ///< For example "attempt_started" or "retry_refused".
    std::optional<upstream_id> upstream;
    std::string reason;

    auto operator<=>(const explanation_step &) const = default;
};

} // namespace banyan
