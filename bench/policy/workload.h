#pragma once

#include "event_loop.h"
#include "simulated_request.h"

#include <cstdint>
#include <functional>
#include <random>

namespace banyan::bench {

/// Options of a workload.
struct workload_options
{
    double onlineRate = 80; ///< Online requests a second outside of bursts.
    double burstRate = 220; ///< Within bursts.
    duration burstEvery = std::chrono::seconds(10);
    duration burstLength = std::chrono::seconds(3);
    double onlineTokens = 40; ///< Mean of the tokens of a short online request.
    double batchTokens = 120; ///< Mean of the tokens of a short batch item.
    double longShare = 0; ///< Share of requests that run longFactor times longer.
    double longFactor = 30;
    bool longAnnounced = true; ///< Whether expectedTokens tells long requests from short ones.
    std::size_t batchWindow = 0; ///< Batch items outstanding at any time; 0 for none.
    double batchRate = 0; ///< Batch items a second that arrive whatever is outstanding.
    bool onlineStreamed = true; ///< Whether online answers are streamed; batch answers always are.
    std::size_t callers = 8;
    std::size_t prefixes = 200; ///< Distinct prompt prefixes, the popular ones far more frequent.
    std::size_t nodes = 13; ///< Entry nodes; some receive up to three times as much as others.
    std::uint64_t seed = 1;
};

/// Arrivals: online work in an open loop with bursts, batch work in a closed loop.
class workload
{
public:
    using submit_handler = std::function<void(std::size_t node, const simulated_request &)>;

    workload(event_loop &loop, const workload_options &options, submit_handler submit);

    /// Starts the arrivals, which end at @p end.
    void start(time_point end);

    /// To be called at each end of a request; keeps the batch window full.
    void requestEnded(const simulated_result &result);

private:
    void scheduleOnline();
    void submitOnline();
    void scheduleBatch();
    void submitBatch();
    [[nodiscard]] simulated_request makeRequest(work_class value, double meanTokens);
    [[nodiscard]] double rateAt(time_point when) const;

    event_loop &m_loop;
    workload_options m_options;
    submit_handler m_submit;
    std::mt19937_64 m_random;
    std::mt19937_64 m_batchRandom; ///< Apart, so that batch work does not change the online trace.
    std::discrete_distribution<std::size_t> m_node;
    time_point m_end;
    std::uint64_t m_lastRequest = 0;
};

} // namespace banyan::bench
