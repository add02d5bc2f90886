#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <vector>

namespace banyan {

/// What a pace was taken from; only those of one kind are compared.
enum class service_time_kind {
    Token, ///< Time per token of a streamed answer; steady.
    WholeAnswer, ///< Time of a whole answer, per token where there are any; scatters.
};

/// Options of a concurrency_limit.
struct concurrency_limit_options
{
    std::uint32_t initial = 8;
    std::uint32_t minimum = 2;
    std::uint32_t maximum = 64;
    double tolerance = 1.05; ///< Time per token over its baseline up to which the limit grows.
    double wholeAnswerTolerance = 1.5; ///< The same for times of whole answers.
    double overcommittedTolerance = 1.65; ///< The same while more is in flight than the limit.
    duration window = std::chrono::milliseconds(500); ///< Samples of this time are taken together.
    std::uint32_t minimumSamples = 6; ///< A window goes on until it has as many.
};

/// How much one upstream may hold at once, found from the pace at which its attempts advance.
///
/// An engine that batches continuously keeps its pace (time per token) while it has power to spare; beyond that the pace
/// drops for all and throughput gains little. The limit grows while the pace stays near its baseline and shrinks when it
/// does not. The baseline of the time per token follows the best pace seen and is raised only by windows with little in
/// flight, so that a limit that is always used cannot drift upwards. Times of whole answers scatter; their baseline is a
/// low average, which under steady load drifts towards larger limits, up to what the upstream refuses.
class concurrency_limit
{
public:
    explicit concurrency_limit(const concurrency_limit_options &options);

    /// Takes in how long a token or a whole answer took. @p reserved slots are left free on purpose while work waits; they
    /// count as used, so that the limit can grow beyond them.
    void recordServiceTime(service_time_kind kind, double seconds, std::uint32_t inFlight, std::uint32_t reserved, time_point now);

    /// The upstream refused work while @p inFlight requests were in progress.
    void recordRejection(std::uint32_t inFlight);

    [[nodiscard]] std::uint32_t value() const
    {
        return static_cast<std::uint32_t>(m_limit);
    }

private:
    struct service_time_series
    {
        service_time_kind kind = service_time_kind::Token;
        double baseline = 0; ///< 0: not known yet.
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
    double m_fastGrowthCeiling; ///< The limit grows fast below this: what it was before the pace last dropped.
    bool m_overTolerance = false; ///< The last window's pace was beyond the tolerance.
    service_time_series m_tokens{.kind = service_time_kind::Token};
    service_time_series m_wholeAnswers{.kind = service_time_kind::WholeAnswer};
};

} // namespace banyan
