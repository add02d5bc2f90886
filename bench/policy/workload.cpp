#include "workload.h"

#include <cmath>
#include <string>
#include <vector>

namespace banyan::bench {

namespace {

constexpr double tokenSpread = 0.5; ///< Standard deviation of the logarithm of the tokens.
constexpr double promptSteps = 2;
constexpr double microsecondsPerSecond = 1e6;
constexpr duration onlineDeadline = std::chrono::seconds(60);
constexpr duration batchDeadline = std::chrono::hours(4);
constexpr std::uint32_t prefixesPerCaller = 1000;

std::discrete_distribution<std::size_t> skewedNodes(std::size_t nodes)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < nodes; ++i) {
        weights.push_back(0.5 + static_cast<double>(i % 3) / 2);
    }
    return {weights.begin(), weights.end()};
}

} // namespace

workload::workload(event_loop &loop, const workload_options &options, submit_handler submit)
    : m_loop(loop)
    , m_options(options)
    , m_submit(std::move(submit))
    , m_random(options.seed)
    , m_batchRandom(options.seed + 1)
    , m_node(skewedNodes(options.nodes))
{
}

void workload::start(time_point end)
{
    m_end = end;
    scheduleOnline();
    if (m_options.batchRate > 0) {
        scheduleBatch();
    }
    for (std::size_t i = 0; i < m_options.batchWindow; ++i) {
        submitBatch();
    }
}

double workload::rateAt(time_point when) const
{
    const duration inPeriod = when.time_since_epoch() % m_options.burstEvery;
    return inPeriod < m_options.burstLength ? m_options.burstRate : m_options.onlineRate;
}

void workload::scheduleOnline()
{
    // Thinning: candidates come at the burst rate, and outside of bursts only a share of them is taken.
    std::exponential_distribution<double> gap(m_options.burstRate);
    const auto next = m_loop.now() + duration(static_cast<std::int64_t>(gap(m_random) * microsecondsPerSecond));
    if (next > m_end) {
        return;
    }
    m_loop.at(next, [this] {
        if (std::uniform_real_distribution<double>()(m_random) * m_options.burstRate < rateAt(m_loop.now())) {
            submitOnline();
        }
        scheduleOnline();
    });
}

void workload::scheduleBatch()
{
    std::exponential_distribution<double> gap(m_options.batchRate);
    const auto next = m_loop.now() + duration(static_cast<std::int64_t>(gap(m_batchRandom) * microsecondsPerSecond));
    if (next > m_end) {
        return;
    }
    m_loop.at(next, [this] {
        submitBatch();
        scheduleBatch();
    });
}

simulated_request workload::makeRequest(work_class value, double meanTokens)
{
    const bool online = value == work_class::Online;
    std::mt19937_64 &random = online ? m_random : m_batchRandom;
    std::lognormal_distribution<double> tokens(std::log(meanTokens) - tokenSpread * tokenSpread / 2, tokenSpread);
    const double drawn = std::max(1.0, std::round(tokens(random)));
    const bool isLong = std::uniform_real_distribution<double>()(random) < m_options.longShare;
    const std::size_t caller = std::uniform_int_distribution<std::size_t>(0, m_options.callers - 1)(random);
    const double popularity = std::pow(std::uniform_real_distribution<double>()(random), 3);
    const auto prefix = static_cast<std::uint64_t>(popularity * static_cast<double>(m_options.prefixes));
    simulated_request request;
    request.job = {.prefillSteps = promptSteps,
                   .tokens = isLong ? drawn * m_options.longFactor : drawn,
                   .prefixHash = 1 + caller * prefixesPerCaller + prefix};
    request.kind = online ? (isLong ? request_kind::OnlineLong : request_kind::OnlineShort)
                          : (isLong ? request_kind::BatchLong : request_kind::BatchShort);
    const double expected = m_options.longAnnounced ? request.job.tokens * 2 : meanTokens * 2;
    request.dispatch = {.id = request_id("r" + std::to_string(++m_lastRequest)),
                        .caller = caller_id("c" + std::to_string(caller)),
                        .service = service_name("advice"),
                        .workClass = value,
                        .streamed = !online || m_options.onlineStreamed,
                        .fingerprint = m_lastRequest,
                        .prefixHash = request.job.prefixHash,
                        .expectedTokens = static_cast<std::uint32_t>(expected),
                        .deadline = m_loop.now() + (online ? onlineDeadline : batchDeadline)};
    return request;
}

void workload::submitOnline()
{
    const simulated_request request = makeRequest(work_class::Online, m_options.onlineTokens);
    m_submit(m_node(m_random), request);
}

void workload::submitBatch()
{
    const simulated_request request = makeRequest(work_class::Batch, m_options.batchTokens);
    m_submit(m_node(m_batchRandom), request);
}

void workload::requestEnded(const simulated_result &result)
{
    const bool batch = result.kind == request_kind::BatchShort || result.kind == request_kind::BatchLong;
    if (batch && m_options.batchWindow > 0 && m_loop.now() < m_end) {
        m_loop.after(std::chrono::milliseconds(result.result.what == disposition::Completed ? 1 : 100), [this] {
            submitBatch();
        });
    }
}

} // namespace banyan::bench
