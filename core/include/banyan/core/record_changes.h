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

/// A change of a record and the record as it will be.
struct record_change
{
    commit_item item;
    record_row after;

    auto operator<=>(const record_change &) const = default;
};

/// The changes that a record may go through. Each is conditional on the row's version as read, so that of several
/// changes decided on the same reading one takes effect; none is returned where the record's state forbids the change.
///
///     absent, NotRun --accept--> Accepted --start--> Started
///     Accepted, Started --finish--> Completed, NotRun, Failed, OutcomeUnknown
///     Accepted, Started --runAgain--> Accepted under a higher fencing number
///     Accepted --takeOver--> Accepted under a higher fencing number
///     Started --takeOver--> Started, and its starter may still finish it

/// Names one node's ownership of a record in commit_item::owns and disowns. A node may lose a record and get it again, so
/// the name holds the row's version before.
[[nodiscard]] std::string ownershipOf(const std::string &key, row_version before);

/// The key of the record that an ownership is of.
[[nodiscard]] std::string recordKeyOfOwnership(std::string_view ownership);

/// Accepts a request under a key that has no record.
[[nodiscard]] record_change acceptRecord(const std::string &key, record_row fresh);

/// Accepts a request again whose record says that it was not run; none in any other state or with other content.
[[nodiscard]] std::optional<record_change> acceptAgain(const versioned_record &current, record_row fresh);

/// Records the one start under @p fencingNumber; none if there was one or the record has moved on.
[[nodiscard]] std::optional<record_change>
startRecord(const versioned_record &current, std::uint64_t fencingNumber, const std::string &attempt, time_point now);

/// How a run ended, for finishRecord().
struct record_end
{
    std::string owner; ///< Who ran it, and
    std::uint64_t fencingNumber = 0; ///< under which number.
    record_state state = record_state::Completed;
    stored_payload answer;

    auto operator<=>(const record_end &) const = default;
};

/// Ends a record; none if it has ended, or is another's by now.
[[nodiscard]] std::optional<record_change> finishRecord(const versioned_record &current, const record_end &end, time_point now);

/// Ends a record on behalf of the one who started it under @p end's number, whoever owns it by now: since there is one
/// start under one number, its result is the result. None if the record is not started under that number any more.
[[nodiscard]] std::optional<record_change> finishStarted(const versioned_record &current, const record_end &end, time_point now);

/// Prepares another run by the same owner under the next fencing number, which shuts out whatever is left of the run
/// before. A record that was started is run again only with @p startedButNotRun: the starter said that the request
/// was not run. None if the record has moved on.
[[nodiscard]] std::optional<record_change> runRecordAgain(const versioned_record &current,
                                                          const std::string &owner,
                                                          std::uint64_t fencingNumber,
                                                          bool startedButNotRun,
                                                          time_point now);

/// Moves a record of @p lostOwner to @p newOwner: to be run again under the next fencing number, or, if its one start is
/// recorded, to be watched until its starter finishes it or cannot any more. None if it has ended or is another's by now.
[[nodiscard]] std::optional<record_change>
takeOverRecord(const versioned_record &current, const std::string &lostOwner, const std::string &newOwner, time_point now);

/// Deletes a record that has been final since before @p oldest; none if it has not.
[[nodiscard]] std::optional<commit_item> expireRecord(const versioned_record &current, time_point oldest);

} // namespace banyan
