#pragma once

#include "banyan/core/serving/job_entry.h"

#include <optional>

namespace banyan {

/// Whose jobs a call may concern.
struct job_access
{
    std::optional<caller_id> organisation; ///< The caller, empty if it has no key; none if keys are not required.

    /// Whether the caller may know of the job. A job that nobody's key submitted is open to all.
    [[nodiscard]] bool allows(const job_entry &job) const
    {
        return !organisation || job.organisation.empty() || job.organisation == *organisation;
    }
};

} // namespace banyan
