#pragma once

#include "banyan/core/serving/slot_request.h"
#include "decaying_average.h"
#include "typical_value.h"

#include <array>
#include <compare>
#include <cstddef>

namespace banyan {

/// The work that a run is expected to cause, in seconds at an upstream of average speed.
struct expected_work
{
    double firstByteSeconds = 0; ///< Until the first byte.
    double runSeconds = 0; ///< Until the end, first byte included.

    auto operator<=>(const expected_work &) const = default;
};

/// Learns how much work the runs of a service cause, from the sizes that their callers state.
///
/// A stated size only selects a size class, whose work is learned from measured times, so a caller gains nothing by a wrong
/// statement. A class without measurements counts as the average of its work class, scaled by the stated size within
/// a bound. A caller whose runs cost more or less than others of the same size gets a factor of its own, within the same bound.
/// The memory is constant; callers are hashed into a fixed number of entries.
class work_estimator
{
public:
    /// @p prior is assumed until runs have been measured.
    explicit work_estimator(const expected_work &prior = {});

    /// The expected work of a run; @p cached if its upstream is expected to keep the prompt's shared prefix.
    [[nodiscard]] expected_work expected(const slot_request &request, bool cached) const;

    /// What a run of this size typically takes: a reference for the speed of an upstream. Means do not serve for that, since most
    /// runs take less than the mean.
    [[nodiscard]] expected_work typical(const slot_request &request, bool cached) const;

    /// Records the time to the first byte, in seconds at an upstream of average speed.
    void recordFirstByte(const slot_request &request, bool cached, double seconds);

    /// Records the time of a complete run, earlier runs of the same item excluded, in seconds at an upstream of average speed.
    void recordRun(const slot_request &request, double seconds);

    /// Records what a run took at an upstream of average speed, for typical(). A time of 0 is not recorded.
    void recordTypical(const slot_request &request, bool cached, const expected_work &measured);

private:
    static constexpr std::size_t workClasses = 2;
    static constexpr std::size_t sizeClasses = 16; ///< Powers of two of tokens; the last one has no upper bound.
    static constexpr std::size_t callerEntries = 64;

    struct statistics
    {
        decaying_average firstByte;
        decaying_average run;
        typical_value typicalFirstByte;
        typical_value typicalCachedFirstByte;
        typical_value typicalRun;
    };
    struct class_statistics
    {
        statistics all;
        decaying_average statedTokens;
        std::array<statistics, sizeClasses * sizeClasses> bySize;
    };

    [[nodiscard]] const class_statistics &classOf(const slot_request &request) const;
    [[nodiscard]] expected_work expectedBySize(const slot_request &request) const;
    [[nodiscard]] static std::size_t sizeIndex(const request_size &size);
    [[nodiscard]] static std::size_t callerIndex(const slot_request &request);

    expected_work m_prior;
    std::array<class_statistics, workClasses> m_classes;
    std::array<decaying_average, callerEntries> m_callers; ///< Measured over expected run time.
    decaying_average m_cached; ///< Measured over expected time to the first byte of runs whose prefix was expected to be kept.
};

} // namespace banyan
