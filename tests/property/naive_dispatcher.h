#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/dispatch_action.h"
#include "banyan/core/dispatch_request.h"
#include "banyan/core/upstream_info.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <span>

namespace banyan::test {

/// A minimal reference dispatcher: one FIFO queue, each request to the upstream with the fewest requests in flight. A failed
/// request returns to the end of the queue, unless it may have run and is not repeatable.
class naive_dispatcher
{
public:
    explicit naive_dispatcher(std::size_t slots)
        : m_slots(slots)
    {
    }

    dispatch_actions setUpstreams(std::span<const upstream_info> upstreams, time_point)
    {
        for (const upstream_info &upstream : upstreams) {
            m_inFlight[upstream.id] = 0;
        }
        return {};
    }

    dispatch_actions submit(const dispatch_request &request, time_point)
    {
        m_queue.push_back(request);
        return startQueued();
    }

    dispatch_actions attemptEnded(attempt_id attempt, const attempt_result &result, time_point)
    {
        const running ended = m_running.at(attempt);
        m_running.erase(attempt);
        --m_inFlight[ended.upstream];
        const bool notRun = result.outcome == attempt_outcome::Refused || result.outcome == attempt_outcome::NotSent;
        dispatch_actions actions;
        if (result.outcome == attempt_outcome::Succeeded) {
            actions.emplace_back(finish_request{.request = ended.request.id, .result = {.what = disposition::Completed}});
        } else if (ended.request.repeatable || notRun) {
            m_queue.push_back(ended.request);
        } else {
            actions.emplace_back(finish_request{.request = ended.request.id, .result = {.what = disposition::OutcomeUnknown}});
        }
        const dispatch_actions started = startQueued();
        actions.insert(actions.end(), started.begin(), started.end());
        return actions;
    }

    dispatch_actions tick(time_point)
    {
        return {};
    }

    [[nodiscard]] std::optional<time_point> nextWakeUp() const
    {
        return std::nullopt;
    }

private:
    struct running
    {
        dispatch_request request;
        upstream_id upstream;
    };

    dispatch_actions startQueued()
    {
        dispatch_actions actions;
        while (!m_queue.empty()) {
            const auto least = std::min_element(m_inFlight.begin(), m_inFlight.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            });
            if (least->second >= m_slots) {
                break;
            }
            const attempt_id attempt{.value = ++m_lastAttempt};
            ++least->second;
            m_running[attempt] = {.request = m_queue.front(), .upstream = least->first};
            actions.emplace_back(start_attempt{.request = m_queue.front().id, .attempt = attempt, .upstream = least->first});
            m_queue.pop_front();
        }
        return actions;
    }

    std::size_t m_slots;
    std::deque<dispatch_request> m_queue;
    std::map<upstream_id, std::size_t> m_inFlight;
    std::map<attempt_id, running> m_running;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace banyan::test
