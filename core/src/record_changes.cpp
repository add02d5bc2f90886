#include "banyan/core/record_changes.h"

#include <utility>

namespace banyan {

namespace {

constexpr char ownershipSeparator = '#';

record_change conditionalChange(const versioned_record &current, record_row after)
{
    commit_item item{.conditions = {{.key = current.key, .version = current.version}},
                     .writes = {{.key = current.key, .value = encodeRecordRow(after)}}};
    return {.item = std::move(item), .after = std::move(after)};
}

record_row nextRun(record_row record, const std::string &owner, time_point now)
{
    record.state = record_state::Accepted;
    record.owner = owner;
    record.attempt.clear();
    record.changedAt = now;
    ++record.fencingNumber;
    return record;
}

record_row withResult(record_row record, record_state state, const stored_payload &answer, time_point now)
{
    record.state = state;
    record.answer = answer;
    record.request.text.clear();
    record.changedAt = now;
    return record;
}

bool isActiveOf(const record_row &record, const std::string &owner, std::uint64_t fencingNumber)
{
    return !isFinal(record.state) && record.owner == owner && record.fencingNumber == fencingNumber;
}

} // namespace

std::string ownershipOf(const std::string &key, row_version before)
{
    return key + ownershipSeparator + std::to_string(before);
}

std::string recordKeyOfOwnership(std::string_view ownership)
{
    return std::string(ownership.substr(0, ownership.find(ownershipSeparator)));
}

record_change acceptRecord(const std::string &key, record_row fresh)
{
    record_change change = conditionalChange({.key = key, .version = 0}, std::move(fresh));
    change.item.rejectWhenUnavailable = true;
    change.item.addedOwnership = ownershipOf(key, 0);
    return change;
}

std::optional<record_change> acceptRecordAgain(const versioned_record &current, record_row fresh)
{
    if (current.record.state != record_state::NotRun || current.record.contentHash != fresh.contentHash) {
        return std::nullopt;
    }
    fresh.fencingNumber = current.record.fencingNumber + 1;
    record_change change = conditionalChange(current, std::move(fresh));
    change.item.rejectWhenUnavailable = true;
    change.item.addedOwnership = ownershipOf(current.key, current.version);
    return change;
}

std::optional<record_change>
startRecord(const versioned_record &current, std::uint64_t fencingNumber, const std::string &attempt, time_point now)
{
    if (current.record.state != record_state::Accepted || current.record.fencingNumber != fencingNumber) {
        return std::nullopt;
    }
    record_row after = current.record;
    after.state = record_state::Started;
    after.attempt = attempt;
    after.changedAt = now;
    record_change change = conditionalChange(current, std::move(after));
    change.item.rejectWhenUnavailable = true;
    return change;
}

std::optional<record_change> finishRecord(const versioned_record &current, const record_end &end, time_point now)
{
    if (!isActiveOf(current.record, end.owner, end.fencingNumber)) {
        return std::nullopt;
    }
    return conditionalChange(current, withResult(current.record, end.state, end.answer, now));
}

std::optional<record_change> finishStartedRecord(const versioned_record &current, const record_end &end, time_point now)
{
    if (current.record.state != record_state::Started || current.record.fencingNumber != end.fencingNumber) {
        return std::nullopt;
    }
    return conditionalChange(current, withResult(current.record, end.state, end.answer, now));
}

std::optional<record_change> runRecordAgain(const versioned_record &current,
                                            const std::string &owner,
                                            std::uint64_t fencingNumber,
                                            bool startedButNotRun,
                                            time_point now)
{
    if (!isActiveOf(current.record, owner, fencingNumber)) {
        return std::nullopt;
    }
    if (current.record.state == record_state::Started && !startedButNotRun) {
        return std::nullopt;
    }
    return conditionalChange(current, nextRun(current.record, owner, now));
}

std::optional<record_change>
takeOverRecord(const versioned_record &current, const std::string &lostOwner, const std::string &newOwner, time_point now)
{
    if (isFinal(current.record.state) || current.record.owner != lostOwner) {
        return std::nullopt;
    }
    record_row moved = current.record;
    moved.owner = newOwner;
    if (current.record.state != record_state::Started) {
        moved = nextRun(current.record, newOwner, now);
    }
    moved.mayHaveRun = current.record.mayHaveRun || current.record.repeatable; // Starts of repeatable requests are not recorded.
    record_change change = conditionalChange(current, std::move(moved));
    change.item.addedOwnership = ownershipOf(current.key, current.version);
    return change;
}

std::optional<commit_item> deleteExpiredRecord(const versioned_record &current, time_point oldest)
{
    if (!isFinal(current.record.state) || current.record.changedAt >= oldest) {
        return std::nullopt;
    }
    return commit_item{.conditions = {{.key = current.key, .version = current.version}},
                       .writes = {{.key = current.key, .value = std::nullopt}}};
}

} // namespace banyan
