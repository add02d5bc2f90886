#pragma once

#include "banyan/core/attempt_result.h"

#include <string_view>

namespace banyan {

/// The outcome's name in logs, traces and metrics, for example "not_sent".
[[nodiscard]] constexpr std::string_view toString(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::Succeeded:
        return "succeeded";
    case attempt_outcome::Answered:
        return "answered";
    case attempt_outcome::NotSent:
        return "not_sent";
    case attempt_outcome::Refused:
        return "refused";
    case attempt_outcome::Failed:
        return "failed";
    case attempt_outcome::Lost:
        return "lost";
    case attempt_outcome::TimedOut:
        return "timed_out";
    case attempt_outcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace banyan
