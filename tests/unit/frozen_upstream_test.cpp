#include "banyan/core/dispatcher.h"

#include <catch2/catch.hpp>

#include <map>

using namespace banyan;

namespace {

constexpr duration answerTime = std::chrono::milliseconds(10);
constexpr int requestCount = 200;
const upstream_id frozen("u0");

/// Runs requests sequentially on three upstreams, one of which never answers.
class frozen_cell
{
public:
    frozen_cell()
    {
        const std::vector<upstream_info> upstreams = {{.id = frozen}, {.id = upstream_id("u1")}, {.id = upstream_id("u2")}};
        take(m_dispatcher.setUpstreams(upstreams, m_now));
    }

    /// Runs one request until it is finished and returns how long it took.
    duration run(int number)
    {
        const time_point startedAt = m_now;
        dispatch_request request;
        request.id = request_id("r" + std::to_string(number));
        request.deadline = m_now + std::chrono::minutes(10);
        m_finished = false;
        take(m_dispatcher.submit(request, m_now));
        while (!m_finished) {
            advance();
        }
        return m_now - startedAt;
    }

private:
    void advance()
    {
        time_point next = m_dispatcher.nextWakeUp().value_or(time_point::max());
        if (!m_answers.empty()) {
            next = std::min(next, m_answers.begin()->first);
        }
        REQUIRE(next != time_point::max());
        m_now = std::max(m_now, next);
        if (!m_answers.empty() && m_answers.begin()->first <= m_now) {
            const attempt_id attempt = m_answers.begin()->second;
            m_answers.erase(m_answers.begin());
            take(m_dispatcher.firstByte(attempt, m_now));
            take(m_dispatcher.attemptEnded(attempt, {.outcome = attempt_outcome::Succeeded}, m_now));
        } else {
            take(m_dispatcher.tick(m_now));
        }
    }

    void take(const dispatch_actions &actions)
    {
        for (const dispatch_action &action : actions) {
            if (const auto *start = std::get_if<start_attempt>(&action)) {
                if (start->upstream != frozen) {
                    m_answers.emplace(m_now + answerTime, start->attempt);
                }
            } else if (const auto *cancel = std::get_if<cancel_attempt>(&action)) {
                std::erase_if(m_answers, [&](const auto &answer) {
                    return answer.second == cancel->attempt;
                });
                take(m_dispatcher.attemptEnded(cancel->attempt, {.outcome = attempt_outcome::Cancelled}, m_now));
            } else if (std::holds_alternative<finish_request>(action)) {
                m_finished = true;
            }
        }
    }

    dispatcher m_dispatcher{dispatcher_options()};
    time_point m_now{std::chrono::seconds(1000)};
    std::multimap<time_point, attempt_id> m_answers;
    bool m_finished = false;
};

} // namespace

TEST_CASE("a frozen upstream delays no request by more than the first hedge delay")
{
    const duration bound = dispatcher_options().firstHedgeDelay + 2 * answerTime;
    frozen_cell cell;
    for (int number = 0; number < requestCount; ++number) {
        INFO("request " << number);
        CHECK(cell.run(number) <= bound);
    }
}
