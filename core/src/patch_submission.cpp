#include "banyan/core/patch_submission.h"

#include "banyan/core/configuration_error.h"
#include "banyan/core/configuration_json.h"

#include <utility>

namespace banyan {

namespace {

/// Maximum number of changed fields listed in an audit record; the patch row contains all of them.
constexpr std::size_t maximumAuditedFields = 20;

std::string joinFields(const std::vector<std::string> &fields)
{
    std::string result;
    for (std::size_t index = 0; index < fields.size() && index < maximumAuditedFields; ++index) {
        result += (index == 0 ? "" : ",") + fields[index];
    }
    return fields.size() > maximumAuditedFields ? result + ",..." : result;
}

std::string changedFieldsText(const std::string &mergePatch)
{
    try {
        return joinFields(changedFields(mergePatch));
    } catch (const configuration_error &) {
        return {};
    }
}

} // namespace

std::string_view toString(patch_outcome outcome)
{
    switch (outcome) {
    case patch_outcome::Accepted:
        return "accepted";
    case patch_outcome::Conflict:
        return "conflict";
    case patch_outcome::Invalid:
        return "invalid";
    case patch_outcome::Unavailable:
        return "unavailable";
    case patch_outcome::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "unknown";
}

patch_submission::patch_submission(patch_request request, time_point deadline, const patch_submission_options &options)
    : m_request(std::move(request))
    , m_deadline(deadline)
    , m_options(options)
{
}

submission_step patch_submission::start() const
{
    // Detects that the same submission was committed before, or that the base version is no longer current.
    return readBack({});
}

submission_step patch_submission::patchRowRead(const std::optional<row> &stored, time_point now)
{
    if (stored) {
        const patch_record record = parsePatchRecord(stored->value);
        const bool sameContent = record.author == m_request.author && record.mergePatch == m_request.mergePatch;
        const bool sameSubmission = record.submissionId == m_request.submissionId && sameContent;
        return sameSubmission ? finish(patch_outcome::Accepted, record.version, {}) : conflict(record.version);
    }
    if (!m_transaction) {
        return {.action = read_head_row{}};
    }
    if (now >= m_deadline) {
        return finish(patch_outcome::OutcomeUnknown, m_head.version, "the platform did not answer in time");
    }
    return commit(m_options.retryDelay);
}

submission_step patch_submission::headRead(const std::optional<row> &stored, const configuration_history &history, time_point now)
{
    m_head = parseHead(stored);
    if (m_head.version != m_request.baseVersion) {
        return conflict(m_head.version);
    }
    return history.isNewer(m_head.version) ? submission_step{.action = catch_up{}} : caughtUp(history, now);
}

submission_step patch_submission::caughtUp(const configuration_history &history, time_point now)
{
    if (history.isNewer(m_request.baseVersion)) {
        return finish(patch_outcome::Unavailable, m_head.version, "the base version could not be read");
    }
    if (history.version() != m_request.baseVersion) {
        return conflict(*history.version());
    }
    try {
        return prepare(*history.current(), now);
    } catch (const configuration_error &error) {
        return finish(patch_outcome::Invalid, m_head.version, error.what());
    }
}

submission_step patch_submission::prepare(const configuration &base, time_point now)
{
    const configuration next = applyPatch(base, m_request.mergePatch);
    const patch_record record{.version = next.version,
                              .author = m_request.author,
                              .time = now,
                              .reason = m_request.reason,
                              .submissionId = m_request.submissionId,
                              .mergePatch = m_request.mergePatch};
    const audit_record audit{.time = now,
                             .kind = "patch",
                             .actor = m_request.author,
                             .what = changedFieldsText(m_request.mergePatch),
                             .fromVersion = base.version,
                             .toVersion = next.version,
                             .accepted = true,
                             .reason = m_request.reason};
    m_nextHead = m_head;
    m_nextHead.version = next.version;
    transaction change;
    change.id = m_request.submissionId;
    change.conditions = {{.key = std::string(configurationHeadKey), .version = m_head.rowVersion},
                         {.key = patchKey(next.version), .version = 0}};
    change.writes = {{.key = std::string(configurationHeadKey), .value = toJson(m_nextHead)},
                     {.key = patchKey(next.version), .value = toJson(record)},
                     auditRow(audit, m_request.submissionId)};
    m_transaction = std::move(change);
    if (next.version % m_options.snapshotInterval != 0) {
        return commit({});
    }
    return {.action = store_snapshot{.name = snapshotObjectName(next.version, m_request.submissionId), .bytes = toJson(next)}};
}

submission_step patch_submission::snapshotStored(bool stored)
{
    if (stored) {
        m_nextHead.snapshotVersion = m_nextHead.version;
        m_nextHead.snapshotObject = snapshotObjectName(m_nextHead.version, m_request.submissionId);
        m_transaction->writes.front().value = toJson(m_nextHead);
    }
    return commit({});
}

submission_step patch_submission::committed(const commit_result &result)
{
    if (result.committed) {
        return finish(patch_outcome::Accepted, nextVersion(), {});
    }
    // The condition also fails if an earlier attempt of this submission was committed and its answer lost. Only the patch
    // row tells which submission was committed.
    return readBack({});
}

submission_step patch_submission::outcomeUnknown(time_point now)
{
    m_maybeCommitted = true;
    if (now >= m_deadline) {
        return finish(patch_outcome::OutcomeUnknown, m_head.version, "the answer to the commit was lost and the platform is away");
    }
    return readBack(m_options.retryDelay);
}

submission_step patch_submission::unavailable(time_point now)
{
    if (!m_maybeCommitted) {
        return finish(patch_outcome::Unavailable, m_head.version, "the platform is unavailable");
    }
    return outcomeUnknown(now);
}

audit_record patch_submission::rejectionRecord(const patch_result &result, time_point now) const
{
    return {.time = now,
            .kind = "patch",
            .actor = m_request.author,
            .what = changedFieldsText(m_request.mergePatch),
            .fromVersion = m_request.baseVersion,
            .toVersion = 0,
            .accepted = false,
            .reason = std::string(toString(result.outcome)) + ": " + result.message};
}

configuration_patch patch_submission::patch() const
{
    return {.version = nextVersion(), .mergePatch = m_request.mergePatch};
}

submission_step patch_submission::finish(patch_outcome outcome, configuration_version version, std::string message) const
{
    patch_result result;
    result.outcome = outcome;
    result.version = version;
    result.submissionId = m_request.submissionId;
    result.message = std::move(message);
    return {.action = finish_submission{.result = std::move(result)}};
}

submission_step patch_submission::conflict(configuration_version current) const
{
    const std::string message = "the patch is against version " + std::to_string(m_request.baseVersion)
                                + ", the configuration is at version " + std::to_string(current);
    return finish(patch_outcome::Conflict, current, message);
}

submission_step patch_submission::commit(duration delay) const
{
    return {.action = commit_patch{.change = *m_transaction}, .delay = delay};
}

submission_step patch_submission::readBack(duration delay) const
{
    return {.action = read_patch_row{.key = patchKey(nextVersion())}, .delay = delay};
}

configuration_version patch_submission::nextVersion() const
{
    return m_request.baseVersion + 1;
}

} // namespace banyan
