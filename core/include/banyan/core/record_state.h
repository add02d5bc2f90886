#pragma once

#include <string_view>

namespace banyan {

/// The state of a recorded request. The last four states are final.
enum class record_state {
    Accepted, ///< Recorded; it may have been sent only if it is repeatable.
    Started, ///< The only send of a non-repeatable request is recorded; it may have been sent.
    Completed, ///< An upstream answered and the answer is stored.
    NotRun, ///< Certainly no upstream ran it. Sending it again with the same idempotency key accepts it again.
    Failed, ///< It has no answer, and a retry is not expected to succeed.
    OutcomeUnknown, ///< It was started and its answer was lost; it is never sent again.
};

/// Whether a record in this state is final: it changes only if the caller sends a NotRun request again or the record expires.
[[nodiscard]] constexpr bool isFinal(record_state state)
{
    return state != record_state::Accepted && state != record_state::Started;
}

/// The state's name as used in rows, answers and logs, for example "outcome_unknown".
[[nodiscard]] std::string_view toString(record_state state);

/// The state with this name. @throws std::invalid_argument if the name is unknown
[[nodiscard]] record_state recordStateOf(std::string_view name);

} // namespace banyan
