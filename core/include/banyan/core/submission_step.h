#pragma once

#include "banyan/core/configuration_snapshot.h"
#include "banyan/core/patch_result.h"
#include "banyan/core/transaction.h"

#include <compare>
#include <string>
#include <variant>

namespace banyan {

/// Read the head row and call patch_submission::headRead().
struct read_head_row
{
    auto operator<=>(const read_head_row &) const = default;
};

/// Read the row of a patch and call patch_submission::patchRowRead().
struct read_patch_row
{
    std::string key;

    auto operator<=>(const read_patch_row &) const = default;
};

/// Bring the history to the version of the head, then call patch_submission::caughtUp().
struct catch_up
{
    auto operator<=>(const catch_up &) const = default;
};

/// Store an object with the given name and contents and call patch_submission::snapshotStored().
struct store_snapshot
{
    std::string name;
    std::string bytes;

    auto operator<=>(const store_snapshot &) const = default;
};

/// Commit the transaction and call patch_submission::committed(), outcomeUnknown() or unavailable().
struct commit_patch
{
    transaction change;

    auto operator<=>(const commit_patch &) const = default;
};

/// The submission has ended. If the outcome is Conflict, the host adds the missed patches to the result.
struct finish_submission
{
    patch_result result;

    auto operator<=>(const finish_submission &) const = default;
};

/// Next action that the host of a patch_submission executes after waiting for delay.
struct submission_step
{
    using action_type = std::variant<read_head_row, read_patch_row, catch_up, store_snapshot, commit_patch, finish_submission>;

    action_type action;
    duration delay{};

    auto operator<=>(const submission_step &) const = default;
};

} // namespace banyan
