#include "banyan/core/serving/start_steps.h"

namespace banyan {

std::string_view toString(start_step value)
{
    switch (value) {
    case start_step::Configuration:
        return "configuration";
    case start_step::Upstreams:
        return "upstreams";
    case start_step::StoppedContents:
        return "stopped_contents";
    case start_step::Gateways:
        return "gateways";
    case start_step::Registered:
        return "registered";
    case start_step::Ready:
        return "ready";
    case start_step::FirstAnswer:
        return "first_answer";
    }
    return "unknown";
}

std::optional<duration> start_steps::taken(start_step step) const
{
    const auto found = m_taken.find(step);
    return found == m_taken.end() ? std::nullopt : std::optional(found->second);
}

} // namespace banyan
