#include "banyan/core/record_state.h"

#include <array>
#include <stdexcept>
#include <string>

namespace banyan {

std::string_view toString(record_state state)
{
    switch (state) {
    case record_state::Accepted:
        return "accepted";
    case record_state::Started:
        return "started";
    case record_state::Completed:
        return "completed";
    case record_state::NotRun:
        return "not_run";
    case record_state::Failed:
        return "failed";
    case record_state::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "unknown";
}

record_state recordStateOf(std::string_view name)
{
    constexpr std::array states{record_state::Accepted,
                                record_state::Started,
                                record_state::Completed,
                                record_state::NotRun,
                                record_state::Failed,
                                record_state::OutcomeUnknown};
    for (const record_state state : states) {
        if (toString(state) == name) {
            return state;
        }
    }
    throw std::invalid_argument("record state: expected a known name, found \"" + std::string(name) + "\"");
}

} // namespace banyan
