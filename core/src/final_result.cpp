#include "banyan/core/final_result.h"

namespace banyan {

std::string_view toString(end_reason reason)
{
    switch (reason) {
    case end_reason::None:
        return "none";
    case end_reason::Overloaded:
        return "overloaded";
    case end_reason::DeadlineUnreachable:
        return "deadline_unreachable";
    case end_reason::RateLimited:
        return "rate_limited";
    case end_reason::NoUpstream:
        return "no_upstream";
    case end_reason::RetriesExhausted:
        return "retries_exhausted";
    case end_reason::AnswerLost:
        return "answer_lost";
    case end_reason::CrashesUpstreams:
        return "crashes_upstreams";
    case end_reason::Draining:
        return "draining";
    case end_reason::StoreUnavailable:
        return "store_unavailable";
    case end_reason::CancelledByCaller:
        return "cancelled_by_caller";
    case end_reason::VersionUnknown:
        return "version_unknown";
    case end_reason::VersionGone:
        return "version_gone";
    case end_reason::VersionUnread:
        return "version_unread";
    case end_reason::KeyUnproven:
        return "key_unproven";
    }
    return "unknown";
}

std::string_view toString(disposition value)
{
    switch (value) {
    case disposition::Completed:
        return "completed";
    case disposition::NotRun:
        return "not_run";
    case disposition::OutcomeUnknown:
        return "outcome_unknown";
    case disposition::Failed:
        return "failed";
    case disposition::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace banyan
