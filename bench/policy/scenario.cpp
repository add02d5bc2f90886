#include "scenario.h"

#include <algorithm>
#include <cmath>

namespace banyan::bench {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr duration settleTime = std::chrono::seconds(60); ///< For requests in progress after the last arrival.

double toSeconds(duration value)
{
    return static_cast<double>(value.count()) / microsecondsPerSecond;
}

/// Sorts the ends of requests into a scenario_result.
class result_collector
{
public:
    result_collector(time_point from, time_point until)
        : m_from(from)
        , m_until(until)
    {
    }

    void add(const simulated_result &ended)
    {
        const bool online = ended.kind == request_kind::OnlineShort || ended.kind == request_kind::OnlineLong;
        if (ended.result.what != disposition::Completed) {
            ++(online ? m_result.onlineFailed : m_result.batchFailed);
            return;
        }
        if (ended.endedAt >= m_from && ended.endedAt < m_until) {
            (online ? m_result.onlineTokens : m_result.batchTokens) += ended.tokens / toSeconds(m_until - m_from);
        }
        if (ended.submittedAt < m_from) {
            return;
        }
        m_result.onlineFinished += online ? 1 : 0;
        if (std::vector<double> *const latencies = latenciesOf(ended.kind)) {
            latencies->push_back(toSeconds(ended.endedAt - ended.submittedAt));
        }
    }

    scenario_result take(const fleet_counts &counts)
    {
        std::sort(m_result.onlineShort.begin(), m_result.onlineShort.end());
        std::sort(m_result.onlineLong.begin(), m_result.onlineLong.end());
        std::sort(m_result.batchShort.begin(), m_result.batchShort.end());
        m_result.counts = counts;
        return std::move(m_result);
    }

private:
    std::vector<double> *latenciesOf(request_kind kind)
    {
        switch (kind) {
        case request_kind::OnlineShort:
            return &m_result.onlineShort;
        case request_kind::OnlineLong:
            return &m_result.onlineLong;
        case request_kind::BatchShort:
            return &m_result.batchShort;
        case request_kind::BatchLong:
            return nullptr;
        }
        return nullptr;
    }

    time_point m_from;
    time_point m_until;
    scenario_result m_result;
};

/// Slows the upstreams of one turn and speeds up those of the turn before.
template<typename Fleet>
void applySlowdown(event_loop &loop, Fleet &fleet, std::size_t upstreams, const slowdown &slow, std::size_t turn)
{
    const auto slowed = static_cast<std::size_t>(std::lround(slow.share * static_cast<double>(upstreams)));
    const bool over = loop.now() >= slow.until;
    for (std::size_t i = 0; i < upstreams; ++i) {
        const std::size_t position = (i + upstreams * (turn + 1) - turn * slowed) % upstreams;
        fleet.engine(i).setSlowdown(!over && position < slowed ? slow.factor : 1);
    }
    if (!over) {
        const duration next = slow.moveEvery > duration(0) ? slow.moveEvery : slow.until - loop.now();
        loop.after(next, [&loop, &fleet, upstreams, slow, turn] {
            applySlowdown(loop, fleet, upstreams, slow, turn + 1);
        });
    }
}

template<typename Fleet>
void scheduleFaults(event_loop &loop, Fleet &fleet, const scenario &value)
{
    if (value.slow) {
        loop.at(value.slow->from, [&loop, &fleet, &value] {
            applySlowdown(loop, fleet, value.fleet.upstreams, *value.slow, 0);
        });
    }
    if (value.loss) {
        loop.at(value.loss->from, [&fleet, &value] {
            for (std::size_t i = 0; i < value.fleet.upstreams; ++i) {
                if (fleet.domainOf(i) == value.loss->domain) {
                    fleet.engine(i).crash(value.loss->until);
                }
            }
        });
    }
}

template<typename Policy, typename MakePolicy>
scenario_result runWith(const scenario &value, const MakePolicy &makePolicy)
{
    event_loop loop;
    const time_point end = time_point() + value.length;
    result_collector collector(time_point() + value.warmUp, end);
    std::unique_ptr<fleet_simulation<Policy>> fleet;
    workload work(loop, value.work, [&](std::size_t node, const simulated_request &request) {
        fleet->submit(node, request);
    });
    fleet = std::make_unique<fleet_simulation<Policy>>(loop, value.fleet, makePolicy, [&](const simulated_result &ended) {
        collector.add(ended);
        work.requestEnded(ended);
    });
    scheduleFaults(loop, *fleet, value);
    work.start(end);
    loop.runUntil(end + settleTime);
    return collector.take(fleet->counts());
}

} // namespace

std::string_view toString(policy_kind value)
{
    switch (value) {
    case policy_kind::Banyan:
        return "banyan";
    case policy_kind::RoundRobin:
        return "round-robin";
    case policy_kind::LeastInFlight:
        return "least-in-flight";
    }
    return "unknown";
}

scenario_result run(const scenario &value)
{
    if (value.policy == policy_kind::Banyan) {
        return runWith<dispatcher>(value, [&](std::uint64_t seed) {
            dispatcher_options options = value.dispatch;
            options.seed = seed;
            return dispatcher(options);
        });
    }
    return runWith<baseline_dispatcher>(value, [&](std::uint64_t) {
        baseline_options options = value.baseline;
        options.choice = value.policy == policy_kind::RoundRobin ? baseline_choice::RoundRobin : baseline_choice::LeastInFlight;
        return baseline_dispatcher(options);
    });
}

double quantile(const std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

} // namespace banyan::bench
