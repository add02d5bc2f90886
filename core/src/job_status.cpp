#include "banyan/core/job_status.h"

#include <array>

namespace banyan {

namespace {

constexpr std::array allStatuses = {job_status::Validating,
                                    job_status::InProgress,
                                    job_status::Finalizing,
                                    job_status::Completed,
                                    job_status::Failed,
                                    job_status::Cancelling,
                                    job_status::Cancelled,
                                    job_status::Expired};

} // namespace

std::string_view toString(job_status status)
{
    switch (status) {
    case job_status::Validating:
        return "validating";
    case job_status::InProgress:
        return "in_progress";
    case job_status::Finalizing:
        return "finalizing";
    case job_status::Completed:
        return "completed";
    case job_status::Failed:
        return "failed";
    case job_status::Cancelling:
        return "cancelling";
    case job_status::Cancelled:
        return "cancelled";
    case job_status::Expired:
        return "expired";
    }
    return "unknown";
}

std::optional<job_status> parseJobStatus(std::string_view name)
{
    for (const job_status status : allStatuses) {
        if (toString(status) == name) {
            return status;
        }
    }
    return std::nullopt;
}

bool isFinal(job_status status)
{
    return status == job_status::Completed || status == job_status::Failed || status == job_status::Cancelled
           || status == job_status::Expired;
}

} // namespace banyan
