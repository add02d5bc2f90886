#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <vector>

namespace banyan {

/// What a service time was measured for. Only service times of the same kind are compared.
enum class service_time_kind {
    Token, ///< Time per token of a streamed answer; varies little.
    WholeAnswer, ///< Time of a whole answer, divided by its tokens if known; varies widely.
};

/// Options of a concurrency_limit.
struct concurrency_limit_options
{
    std::uint32_t initial = 8;
    std::uint32_t minimum = 2;
    std::uint32_t maximum = 64;
    double tolerance = 1.05; ///< Highest ratio of the time per token to its baseline at which the limit still grows.
    double wholeAnswerTolerance = 1.5; ///< The same for whole answers.
    double overcommittedTolerance = 1.65; ///< Minimum tolerance while more requests are in flight than the limit.
    duration window = std::chrono::milliseconds(500); ///< Shortest time over which samples are aggregated.
    std::uint32_t minimumSamples = 6; ///< A window is extended until it has this many samples.
};

/// Adaptive limit on the requests in flight to one upstream, derived from the service times of its attempts.
///
/// An engine with continuous batching keeps its time per token while it has spare capacity; beyond that the time per token
/// rises for all requests and throughput gains little. The limit grows while the service time stays near its baseline and
/// shrinks otherwise. The baseline of the time per token follows the lowest value seen and is raised only by windows with
/// few requests in flight, so that a limit that is always used cannot drift upwards. The times of whole answers vary
/// widely; their baseline is a low average, which under steady load drifts towards larger limits, up to what the upstream
/// rejects.
class concurrency_limit
{
public:
    explicit concurrency_limit(const concurrency_limit_options &options);

    /// Records the service time of a token or a whole answer. @p reserved slots are left free on purpose while work waits;
    /// they count as used, so that the limit can grow beyond them.
    void recordServiceTime(service_time_kind kind, double seconds, std::uint32_t inFlight, std::uint32_t reserved, time_point now);

    /// Shrinks the limit because the upstream rejected a request while @p inFlight requests were in flight.
    void recordRejection(std::uint32_t inFlight);

    [[nodiscard]] std::uint32_t value() const
    {
        return static_cast<std::uint32_t>(m_limit);
    }

private:
    struct service_time_series
    {
        service_time_kind kind = service_time_kind::Token;
        double baseline = 0; ///< In seconds; 0 until the first window has closed.
        std::vector<double> window;
        double inFlightSum = 0;
        double reservedSum = 0;
        time_point windowStart;
    };

    void closeWindow(service_time_series &series);
    void updateBaseline(service_time_series &series, double serviceTime, double inFlight) const;
    void shrink(double factor);
    void adapt(const service_time_series &series, double serviceTime, double inFlight, double reserved);

    concurrency_limit_options m_options;
    double m_limit;
    double m_fastGrowthCeiling; ///< The limit grows fast below this, a share of its value before the last shrink after growth.
    bool m_overTolerance = false; ///< The service time of the last window exceeded the tolerance, or a request was rejected since.
    service_time_series m_tokens{.kind = service_time_kind::Token};
    service_time_series m_wholeAnswers{.kind = service_time_kind::WholeAnswer};
};

} // namespace banyan
