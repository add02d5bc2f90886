#pragma once

#include <string_view>

namespace banyan {

/// How far a recorded request has come. The last four are final.
enum class record_state {
    Accepted, ///< Recorded; no request has been sent that may not be sent again.
    Started, ///< The one sending of a request not to be repeated is recorded; it may have left.
    Completed, ///< An upstream answered and the answer is stored.
    NotRun, ///< No upstream ran it, for sure. Sending it again under the same key accepts it anew.
    Failed, ///< It has no answer and another try is not expected to help.
    OutcomeUnknown, ///< It was started and its answer is lost; it is never sent again.
};

/// Whether a record in this state changes no more by itself.
[[nodiscard]] constexpr bool isFinal(record_state state)
{
    return state != record_state::Accepted && state != record_state::Started;
}

/// The state's name in rows, answers and logs, for example "outcome_unknown".
[[nodiscard]] std::string_view toString(record_state state);

/// The state of that name. @throws std::invalid_argument if there is none
[[nodiscard]] record_state recordStateOf(std::string_view name);

} // namespace banyan
