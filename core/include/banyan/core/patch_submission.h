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
    duration retryDelay = std::chrono::milliseconds(200); ///< Between tries to settle a lost answer.
    configuration_version snapshotInterval = 64; ///< Versions between stored snapshots.
};

/// Takes one patch from the operator's wish to a result that is certain.
///
/// The patch is one transaction, conditional on the head row as it was read at the base version: of several racing
/// patches exactly one changes that row. A lost answer is settled by reading the patch's row back; if the row is absent
/// the same transaction is tried again, which its condition makes harmless. The host carries out each step and reports
/// what came of it.
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
    /// @param deadline when to give up settling and answer OutcomeUnknown, or Unavailable if nothing was sent
    patch_submission(patch_request request, time_point deadline, const patch_submission_options &options);

    [[nodiscard]] submission_step start() const;
    [[nodiscard]] submission_step patchRowRead(const std::optional<row> &stored, time_point now);
    [[nodiscard]] submission_step headRead(const std::optional<row> &stored, const configuration_history &history, time_point now);
    [[nodiscard]] submission_step caughtUp(const configuration_history &history, time_point now);
    [[nodiscard]] submission_step snapshotStored(bool stored);
    [[nodiscard]] submission_step committed(const commit_result &result);
    /// The commit's answer was lost.
    [[nodiscard]] submission_step outcomeUnknown(time_point now);
    /// The platform could not be asked; the step changed nothing.
    [[nodiscard]] submission_step unavailable(time_point now);

    /// What the audit trail says of a submission that was refused.
    [[nodiscard]] audit_record rejectionRecord(const patch_result &result, time_point now) const;

    /// The committed patch, for putting it in force at once; meaningful after Accepted.
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
