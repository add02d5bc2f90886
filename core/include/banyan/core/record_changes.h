#pragma once

#include "banyan/core/commit_item.h"
#include "banyan/core/record_row.h"
#include "banyan/core/record_state.h"
#include "banyan/core/stored_payload.h"
#include "banyan/core/time.h"
#include "banyan/core/versioned_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

/// A change of a record, and the record after the change.
struct record_change
{
    commit_item item;
    record_row after;

    auto operator<=>(const record_change &) const = default;
};

/// The state transitions of a record. Each is conditional on the row's version as read, so that only one of several
/// changes based on the same read takes effect. The functions return none if the record's state forbids the change.
///
///     absent, NotRun --accept--> Accepted --start--> Started
///     Accepted, Started --finish--> Completed, NotRun, Failed, OutcomeUnknown
///     Accepted, Started --runAgain--> Accepted with a higher fencing number
///     Accepted --takeOver--> Accepted with a higher fencing number
///     Started --takeOver--> Started; the node that started it may still finish it

/// The name of one node's ownership of a record, for commit_item::addedOwnership and removedOwnership. A node may lose a record and get it
/// again, so the name includes the row's version before the change.
[[nodiscard]] std::string ownershipOf(const std::string &key, row_version before);

/// The key of the record in a name made by ownershipOf().
[[nodiscard]] std::string recordKeyOfOwnership(std::string_view ownership);

/// Accepts a request whose key has no record yet.
[[nodiscard]] record_change acceptRecord(const std::string &key, record_row fresh);

/// Accepts a request again if its record is in record_state::NotRun; none in any other state or if the content differs.
[[nodiscard]] std::optional<record_change> acceptRecordAgain(const versioned_record &current, record_row fresh);

/// Records the start of the request under @p fencingNumber; none if the record is not in record_state::Accepted or has
/// another fencing number.
[[nodiscard]] std::optional<record_change>
startRecord(const versioned_record &current, std::uint64_t fencingNumber, const std::string &attempt, time_point now);

/// How a run ended, for finishRecord().
struct record_end
{
    std::string owner; ///< Lease of the node that ran the request.
    std::uint64_t fencingNumber = 0; ///< Fencing number under which it ran.
    record_state state = record_state::Completed;
    stored_payload answer;

    auto operator<=>(const record_end &) const = default;
};

/// Ends a record; none if it has already ended, or if its owner or fencing number has changed.
[[nodiscard]] std::optional<record_change> finishRecord(const versioned_record &current, const record_end &end, time_point now);

/// Ends a record with the result of the node that started it under the fencing number of @p end, whoever owns the record
/// now. There is only one start per fencing number, so this result is the only one. None if the record is not in
/// record_state::Started or has another fencing number.
[[nodiscard]] std::optional<record_change> finishStartedRecord(const versioned_record &current, const record_end &end, time_point now);

/// Prepares another run by the same owner under the next fencing number, so that late changes of the previous run are
/// rejected. A started record is run again only if @p startedButNotRun is set: the node that started it reported that the
/// request was not run. None if the record has ended, or if its owner or fencing number has changed.
[[nodiscard]] std::optional<record_change> runRecordAgain(const versioned_record &current,
                                                          const std::string &owner,
                                                          std::uint64_t fencingNumber,
                                                          bool startedButNotRun,
                                                          time_point now);

/// Moves a record from @p lostOwner to @p newOwner. If its start is not recorded, it is run again under the next fencing
/// number. If its start is recorded, the new owner waits until the node that started it finishes it or cannot do so any
/// more. None if the record has ended or has another owner.
[[nodiscard]] std::optional<record_change>
takeOverRecord(const versioned_record &current, const std::string &lostOwner, const std::string &newOwner, time_point now);

/// Deletes a record that became final before @p oldest; none otherwise.
[[nodiscard]] std::optional<commit_item> deleteExpiredRecord(const versioned_record &current, time_point oldest);

} // namespace banyan
