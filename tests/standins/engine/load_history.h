#pragma once

#include "banyan/core/time.h"

#include <cstddef>
#include <deque>

namespace banyan::standins {

/// How much work the engine has.
struct engine_load
{
    std::size_t running = 0; ///< Requests that produce tokens.
    std::size_t waiting = 0; ///< Requests before their first token.
};

/// The engine's load as it was some time ago: what its lagging report says.
class load_history
{
public:
    explicit load_history(duration lag)
        : m_lag(lag)
    {
    }

    void record(time_point now, engine_load load)
    {
        m_samples.push_back({now, load});
        while (m_samples.size() > 1 && m_samples[1].since + m_lag <= now) {
            m_samples.pop_front();
        }
    }

    /// The load that was true one lag before @p now.
    [[nodiscard]] engine_load seenAt(time_point now) const
    {
        engine_load seen;
        for (const sample &candidate : m_samples) {
            if (candidate.since + m_lag > now) {
                break;
            }
            seen = candidate.load;
        }
        return seen;
    }

private:
    struct sample
    {
        time_point since;
        engine_load load;
    };

    duration m_lag;
    std::deque<sample> m_samples;
};

} // namespace banyan::standins
