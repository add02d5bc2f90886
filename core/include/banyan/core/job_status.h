#pragma once

#include <optional>
#include <string_view>

namespace banyan {

/// Where a batch job stands. Names as in the callers' interface.
enum class job_status {
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
[[nodiscard]] std::string_view toString(job_status status);

/// The status of that name; none if there is none.
[[nodiscard]] std::optional<job_status> parseJobStatus(std::string_view name);

/// Whether nothing more will happen to a job of this status.
[[nodiscard]] bool isFinal(job_status status);

} // namespace banyan
