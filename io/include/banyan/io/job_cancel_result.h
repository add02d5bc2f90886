#pragma once

namespace banyan {

/// What became of an operator's wish to cancel a job.
enum class job_cancel_result {
    Cancelled, ///< Recorded; it stops within seconds.
    NotFound,
    AlreadyEnded,
    StoreUnavailable, ///< Not recorded: the job goes on.
};

} // namespace banyan
