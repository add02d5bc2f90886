#include "banyan/core/record_changes.h"

#include <utility>

namespace banyan {

namespace {

constexpr char ownershipSeparator = '#';

record_change changeTo(const versioned_record &seen, record_row after)
{
    commit_item item{.conditions = {{.key = seen.key, .version = seen.version}},
                     .writes = {{.key = seen.key, .value = encodeRecordRow(after)}}};
    return {.item = std::move(item), .after = std::move(after)};
}

record_row runAnew(record_row record, const std::string &owner, time_point now)
{
    record.state = record_state::Accepted;
    record.owner = owner;
    record.attempt.clear();
    record.changedAt = now;
    ++record.fencingNumber;
    return record;
}

record_row ended(record_row record, record_state state, const stored_payload &answer, time_point now)
{
    record.state = state;
    record.answer = answer;
    record.request.text.clear();
    record.changedAt = now;
    return record;
}

bool belongsTo(const record_row &record, const std::string &owner, std::uint64_t fencingNumber)
{
    return !isFinal(record.state) && record.owner == owner && record.fencingNumber == fencingNumber;
}

} // namespace

std::string ownershipOf(const std::string &key, row_version before)
{
    return key + ownershipSeparator + std::to_string(before);
}

std::string recordOfOwnership(std::string_view ownership)
{
    return std::string(ownership.substr(0, ownership.find(ownershipSeparator)));
}

record_change acceptRecord(const std::string &key, record_row fresh)
{
    record_change change = changeTo({.key = key, .version = 0}, std::move(fresh));
    change.item.rejectWhenUnavailable = true;
    change.item.addedOwnership = ownershipOf(key, 0);
    return change;
}

std::optional<record_change> acceptAgain(const versioned_record &seen, record_row fresh)
{
    if (seen.record.state != record_state::NotRun || seen.record.contentHash != fresh.contentHash) {
        return std::nullopt;
    }
    fresh.fencingNumber = seen.record.fencingNumber + 1;
    record_change change = changeTo(seen, std::move(fresh));
    change.item.rejectWhenUnavailable = true;
    change.item.addedOwnership = ownershipOf(seen.key, seen.version);
    return change;
}

std::optional<record_change>
startRecord(const versioned_record &seen, std::uint64_t fencingNumber, const std::string &attempt, time_point now)
{
    if (seen.record.state != record_state::Accepted || seen.record.fencingNumber != fencingNumber) {
        return std::nullopt;
    }
    record_row after = seen.record;
    after.state = record_state::Started;
    after.attempt = attempt;
    after.changedAt = now;
    record_change change = changeTo(seen, std::move(after));
    change.item.rejectWhenUnavailable = true;
    return change;
}

std::optional<record_change> finishRecord(const versioned_record &seen, const record_end &end, time_point now)
{
    if (!belongsTo(seen.record, end.owner, end.fencingNumber)) {
        return std::nullopt;
    }
    return changeTo(seen, ended(seen.record, end.state, end.answer, now));
}

std::optional<record_change> finishStarted(const versioned_record &seen, const record_end &end, time_point now)
{
    if (seen.record.state != record_state::Started || seen.record.fencingNumber != end.fencingNumber) {
        return std::nullopt;
    }
    return changeTo(seen, ended(seen.record, end.state, end.answer, now));
}

std::optional<record_change> runRecordAgain(const versioned_record &seen,
                                            const std::string &owner,
                                            std::uint64_t fencingNumber,
                                            bool startedWithoutEffect,
                                            time_point now)
{
    if (!belongsTo(seen.record, owner, fencingNumber)) {
        return std::nullopt;
    }
    if (seen.record.state == record_state::Started && !startedWithoutEffect) {
        return std::nullopt;
    }
    return changeTo(seen, runAnew(seen.record, owner, now));
}

std::optional<record_change>
takeOverRecord(const versioned_record &seen, const std::string &lostOwner, const std::string &newOwner, time_point now)
{
    if (isFinal(seen.record.state) || seen.record.owner != lostOwner) {
        return std::nullopt;
    }
    record_row moved = seen.record;
    moved.owner = newOwner;
    if (seen.record.state != record_state::Started) {
        moved = runAnew(seen.record, newOwner, now);
    }
    moved.mayHaveRun = seen.record.mayHaveRun || seen.record.repeatable; // The start of a repeatable request is not recorded.
    record_change change = changeTo(seen, std::move(moved));
    change.item.addedOwnership = ownershipOf(seen.key, seen.version);
    return change;
}

std::optional<commit_item> expireRecord(const versioned_record &seen, time_point oldest)
{
    if (!isFinal(seen.record.state) || seen.record.changedAt >= oldest) {
        return std::nullopt;
    }
    return commit_item{.conditions = {{.key = seen.key, .version = seen.version}}, .writes = {{.key = seen.key, .value = std::nullopt}}};
}

} // namespace banyan
