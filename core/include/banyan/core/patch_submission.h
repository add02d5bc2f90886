#pragma once

#include "banyan/core/audit_record.h"
#include "banyan/core/configuration_head.h"
#include "banyan/core/configuration_history.h"
#include "banyan/core/patch_request.h"
#include "banyan/core/submission_step.h"

#include <optional>

namespace banyan {

/// Options of a patch_submission.
struct patch_submission_options
{
    duration retryDelay = std::chrono::milliseconds(200); ///< Delay between attempts to resolve a commit whose answer was lost.
    configuration_version snapshotInterval = 64; ///< Number of versions between stored snapshots.
};

/// State machine that submits one patch and determines its outcome, also when answers of the platform are lost.
///
/// The patch is one transaction, conditional on the head row as read at the base version, so that exactly one of several
/// concurrent patches is committed. If the answer is lost, the row of the patch is read back; if the row is absent, the same
/// transaction is sent again, which is safe because of its condition. The host executes each step and reports the result.
///
/// @code
/// patch_submission submission(request, deadline, {});
/// submission_step step = submission.start();
/// // until std::holds_alternative<finish_submission>(step.action):
/// step = submission.patchRowRead(row, now);
/// @endcode
class patch_submission
{
public:
    /// @param deadline time after which the submission ends with OutcomeUnknown, or with Unavailable if nothing was sent
    patch_submission(patch_request request, time_point deadline, const patch_submission_options &options);

    [[nodiscard]] submission_step start() const;
    /// Reports the row requested by read_patch_row.
    [[nodiscard]] submission_step patchRowRead(const std::optional<row> &stored, time_point now);
    /// Reports the row requested by read_head_row.
    [[nodiscard]] submission_step headRead(const std::optional<row> &stored, const configuration_history &history, time_point now);
    /// Reports the end of catch_up, whether or not @p history reached the version of the head.
    [[nodiscard]] submission_step caughtUp(const configuration_history &history, time_point now);
    /// Reports whether store_snapshot succeeded. A failure does not prevent the commit.
    [[nodiscard]] submission_step snapshotStored(bool stored);
    /// Reports the answer to commit_patch.
    [[nodiscard]] submission_step committed(const commit_result &result);
    /// Reports that the answer to commit_patch was lost.
    [[nodiscard]] submission_step outcomeUnknown(time_point now);
    /// Reports that the platform could not be reached and that the step had no effect.
    [[nodiscard]] submission_step unavailable(time_point now);

    /// Returns the audit record of a rejected submission.
    [[nodiscard]] audit_record rejectionRecord(const patch_result &result, time_point now) const;

    /// Returns the committed patch, so that the host can apply it at once. Valid only after Accepted.
    [[nodiscard]] configuration_patch patch() const;

private:
    [[nodiscard]] submission_step finish(patch_outcome outcome, configuration_version version, std::string message) const;
    [[nodiscard]] submission_step conflict(configuration_version current) const;
    [[nodiscard]] submission_step prepare(const configuration &base, time_point now);
    [[nodiscard]] submission_step commit(duration delay) const;
    [[nodiscard]] submission_step readBack(duration delay) const;
    [[nodiscard]] configuration_version nextVersion() const;

    patch_request m_request;
    time_point m_deadline;
    patch_submission_options m_options;
    configuration_head m_head;
    configuration_head m_nextHead;
    std::optional<transaction> m_transaction;
    bool m_maybeCommitted = false;
};

} // namespace banyan
