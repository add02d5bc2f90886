#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/record_state.h"
#include "banyan/io/run_answer.h"

#include <optional>
#include <string>

namespace banyan {

/// A recorded request as its caller may see it.
struct stored_record
{
    std::string key; ///< Row of the record.
    caller_id caller;
    std::string idempotencyKey;
    std::string contentHash;
    record_state state = record_state::Accepted;
    std::optional<run_answer> answer; ///< How it ended, once the state is final.

    auto operator<=>(const stored_record &) const = default;
};

} // namespace banyan
