#pragma once

#include "banyan/core/dispatcher.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace banyan::bench {

/// How a baseline_dispatcher picks an upstream.
enum class baseline_choice {
    RoundRobin,
    LeastInFlight,
};

/// Options of a baseline_dispatcher.
struct baseline_options
{
    baseline_choice choice = baseline_choice::RoundRobin;
    std::uint32_t slots = 16; ///< Requests in flight to one upstream.
    std::uint32_t maximumAttempts = 4;
};

/// What a dispatcher without policies does: one first-in first-out queue for both classes, fixed slots, immediate retries
/// without a budget. Has the interface of dispatcher.
class baseline_dispatcher
{
public:
    explicit baseline_dispatcher(const baseline_options &options)
        : m_options(options)
    {
    }

    [[nodiscard]] dispatch_actions setUpstreams(std::span<const upstream_info> upstreams, time_point now);
    [[nodiscard]] dispatch_actions submit(const dispatch_request &request, time_point now);
    [[nodiscard]] dispatch_actions firstByte(attempt_id attempt, time_point now);
    [[nodiscard]] dispatch_actions progressed(attempt_id attempt, std::uint32_t tokens, time_point now);
    [[nodiscard]] dispatch_actions attemptEnded(attempt_id attempt, const attempt_result &result, time_point now);
    [[nodiscard]] dispatch_actions tick(time_point now);
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;
    [[nodiscard]] cell_load load(time_point now) const;

private:
    struct attempt_state
    {
        dispatch_request request;
        upstream_id upstream;
        std::uint32_t number = 0;
    };
    struct waiting_request
    {
        dispatch_request request;
        std::uint32_t attempts = 0;
    };

    [[nodiscard]] std::optional<std::size_t> chooseUpstream();
    void startWaiting();
    void end(const dispatch_request &request, const final_result &result, std::optional<attempt_id> attempt);
    dispatch_actions takeActions();

    baseline_options m_options;
    std::vector<upstream_info> m_upstreams;
    std::map<upstream_id, std::uint32_t> m_inFlight;
    std::map<attempt_id, attempt_state> m_attempts;
    std::deque<waiting_request> m_waiting;
    dispatch_actions m_actions;
    std::uint64_t m_lastAttempt = 0;
    std::size_t m_nextUpstream = 0;
};

} // namespace banyan::bench
