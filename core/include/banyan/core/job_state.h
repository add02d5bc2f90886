#pragma once

#include <optional>
#include <string_view>

namespace banyan {

/// The state of a batch job, with the names of the API for callers.
enum class job_state {
    Validating,
    InProgress,
    Finalizing,
    Completed,
    Failed,
    Cancelling, ///< A cancel is committed; items in flight are being cancelled.
    Cancelled,
    Expired, ///< The completion window has passed; items without an answer ended with an error.
};

/// The state's name, for example "in_progress".
[[nodiscard]] std::string_view toString(job_state state);

/// The state with this name; none if the name is unknown.
[[nodiscard]] std::optional<job_state> parseJobState(std::string_view name);

/// Whether a job in this state does not change any more.
[[nodiscard]] bool isFinal(job_state state);

} // namespace banyan
