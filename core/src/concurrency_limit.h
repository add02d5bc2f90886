#pragma once

#include "banyan/core/time.h"

#include <cstdint>
#include <vector>

namespace banyan {

/// Options of a concurrency_limit.
struct concurrency_limit_options
{
    std::uint32_t initial = 8;
    std::uint32_t minimum = 2;
    std::uint32_t maximum = 64;
    double tolerance = 1.05; ///< Pace over baseline up to which the limit grows.
    double overcommittedTolerance = 1.65; ///< The same while more is in flight than the limit.
    duration window = std::chrono::milliseconds(500); ///< Samples of this time are taken together.
    std::uint32_t minimumSamples = 6; ///< A window goes on until it has as many.
};

/// How much one upstream may hold at once, found from the pace at which its attempts advance.
///
/// An engine that batches continuously keeps its pace (time per token) while it has power to spare; beyond that the pace
/// drops for all and throughput gains little. The limit grows while the pace stays near its baseline and shrinks when it
/// does not. The baseline is the best pace seen; it is raised only by windows with little in flight, so that a limit that
/// is always used cannot drift upwards.
class concurrency_limit
{
public:
    explicit concurrency_limit(const concurrency_limit_options &options);

    /// Takes in the pace of an attempt that ended, in seconds per token, or in seconds for upstreams without tokens.
    void paceObserved(double seconds, std::uint32_t inFlight, time_point now);

    /// The upstream refused work while @p inFlight requests were in progress.
    void refused(std::uint32_t inFlight);

    [[nodiscard]] std::uint32_t value() const
    {
        return static_cast<std::uint32_t>(m_limit);
    }

private:
    void closeWindow();
    void moveBaseline(double pace, double inFlight);
    void shrink(double factor);
    void adapt(double pace, double inFlight);

    concurrency_limit_options m_options;
    double m_limit;
    double m_baseline = 0; ///< 0: not known yet.
    double m_fastUntil; ///< The limit grows fast below this: what it was before the pace last dropped.
    bool m_exceeding = false; ///< The last window's pace was beyond the tolerance.
    std::vector<double> m_paces;
    double m_inFlightSum = 0;
    time_point m_windowStart;
};

} // namespace banyan
