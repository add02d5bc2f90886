#pragma once

#include <optional>
#include <string_view>

namespace banyan {

/// Where a batch job stands. Names as in the callers' interface.
enum class job_state {
    Validating,
    InProgress,
    Finalizing,
    Completed,
    Failed,
    Cancelling, ///< A cancel is committed; items in flight are being stopped.
    Cancelled,
    Expired, ///< The completion window has passed; items without an answer got an error.
};

/// For example "in_progress".
[[nodiscard]] std::string_view toString(job_state state);

/// The state of that name; none if there is none.
[[nodiscard]] std::optional<job_state> parseJobState(std::string_view name);

/// Whether nothing more will happen to a job in this state.
[[nodiscard]] bool isFinal(job_state state);

} // namespace banyan
