#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace banyan {

/// What a gateway does from its start to its first answer.
enum class start_step : std::uint8_t {
    Configuration, ///< The configuration has been read.
    Upstreams, ///< The list of upstreams has been read.
    StoppedContents, ///< The list of contents that crash upstreams has been read.
    Gateways, ///< The list of the other gateways has been read.
    Registered, ///< The other gateways can find this one.
    Ready, ///< The load balancer may send connections.
    FirstAnswer, ///< A caller has the answer of an upstream.
};

/// The step's name in logs and metrics, for example "stopped_contents".
[[nodiscard]] std::string_view toString(start_step value);

/// When a gateway has reached each step of its start for the first time.
class start_steps
{
public:
    explicit start_steps(time_point startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// Records that @p step is reached. Returns whether it had not been reached before.
    bool reach(start_step step, time_point now)
    {
        return m_taken.emplace(step, now - m_startedAt).second;
    }

    /// The time from the start to @p step; nullopt if it has not been reached.
    [[nodiscard]] std::optional<duration> taken(start_step step) const;

private:
    time_point m_startedAt;
    std::map<start_step, duration> m_taken;
};

} // namespace banyan
