#include "banyan/core/job_state.h"

#include <array>

namespace banyan {

namespace {

constexpr std::array allStates = {job_state::Validating,
                                  job_state::InProgress,
                                  job_state::Finalizing,
                                  job_state::Completed,
                                  job_state::Failed,
                                  job_state::Cancelling,
                                  job_state::Cancelled,
                                  job_state::Expired};

} // namespace

std::string_view toString(job_state state)
{
    switch (state) {
    case job_state::Validating:
        return "validating";
    case job_state::InProgress:
        return "in_progress";
    case job_state::Finalizing:
        return "finalizing";
    case job_state::Completed:
        return "completed";
    case job_state::Failed:
        return "failed";
    case job_state::Cancelling:
        return "cancelling";
    case job_state::Cancelled:
        return "cancelled";
    case job_state::Expired:
        return "expired";
    }
    return "unknown";
}

std::optional<job_state> parseJobState(std::string_view name)
{
    for (const job_state state : allStates) {
        if (toString(state) == name) {
            return state;
        }
    }
    return std::nullopt;
}

bool isFinal(job_state state)
{
    return state == job_state::Completed || state == job_state::Failed || state == job_state::Cancelled || state == job_state::Expired;
}

} // namespace banyan
