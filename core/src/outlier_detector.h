#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/identifier.h"
#include "banyan/core/time.h"
#include "banyan/core/upstream_status.h"
#include "sliding_quantile.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace banyan {

/// Options of an outlier_detector.
struct outlier_detector_options
{
    double slowFactor = 3; ///< A latency is slow beyond this many times the cell's upper quartile.
    duration slowFloor = std::chrono::milliseconds(20); ///< Nothing faster counts as slow.
    std::uint32_t slowInRow = 3; ///< Slow answers in a row that eject an upstream.
    std::uint32_t connectFailuresInRow = 2;
    std::uint32_t failuresInRow = 3; ///< Lost or failed attempts.
    double maximumSlowShare = 0.4; ///< Of the cell's upstreams that may be ejected for slowness at once; of two, one may.
    duration slowEjection = std::chrono::seconds(2); ///< First one; doubles each time up to longestEjection.
    duration failureEjection = std::chrono::milliseconds(500);
    duration longestEjection = std::chrono::seconds(30);
    std::uint32_t probesToReturn = 2; ///< Good answers in a row that bring an upstream back.
};

/// What a latency was measured of; only those of one kind are compared.
enum class latency_kind {
    FirstToken, ///< Time to the first byte of a streamed answer.
    WholeAnswer, ///< Time to the first byte of an answer that comes as a whole.
    Token, ///< Time from one token to the next.
};

/// Finds upstreams that are much slower than the rest of their cell, or that fail, and takes them out for a time.
///
/// Works on what the dispatcher itself has measured. After its time an ejected upstream is probed by one request at a
/// time and returns after some good answers. Slowness is relative and never ejects more than a share of the cell;
/// failures are absolute and may eject all of it.
class outlier_detector
{
public:
    explicit outlier_detector(const outlier_detector_options &options);

    /// Replaces the upstreams that count for the shares. What is known of others is forgotten.
    void setUpstreams(const std::set<upstream_id> &upstreams);

    /// Takes in a latency. Returns true if the upstream is ejected by it.
    bool recordLatency(const upstream_id &upstream, latency_kind kind, duration latency, time_point now);

    /// Takes in that an attempt has no first byte after slowAfter(). Returns true if the upstream is ejected by it.
    bool recordOverdue(const upstream_id &upstream, time_point now);

    /// Takes in a failed attempt. Returns true if the upstream is ejected by it.
    bool recordFailure(const upstream_id &upstream, attempt_outcome outcome, time_point now);

    /// Good, Ejected or Probing.
    [[nodiscard]] upstream_condition conditionOf(const upstream_id &upstream, time_point now) const;

    /// Since when the upstream has been waiting for a probe; none if it is not.
    [[nodiscard]] std::optional<time_point> probingSince(const upstream_id &upstream, time_point now) const;

    /// The latency beyond which an answer counts as slow; none while too little is known.
    [[nodiscard]] std::optional<duration> slowThreshold(latency_kind kind) const;

    /// The first end of an ejection after @p now, if there is one.
    [[nodiscard]] std::optional<time_point> nextEjectionEnd(time_point now) const;

    /// Moving average of an upstream's time to the first byte.
    [[nodiscard]] duration averageLatency(const upstream_id &upstream) const;

    /// Ejections so far.
    [[nodiscard]] std::uint64_t ejections() const
    {
        return m_ejections;
    }

private:
    struct upstream_record
    {
        double averageLatency = 0;
        std::uint32_t slow = 0; ///< In a row.
        std::uint32_t connectFailures = 0; ///< In a row.
        std::uint32_t failures = 0; ///< In a row.
        std::uint32_t ejectionsInRow = 0;
        std::uint32_t goodProbes = 0;
        bool outOfRotation = false; ///< Ejected, or waiting for its return to be proved.
        bool ejectedForSlowness = false;
        time_point ejectedUntil;
    };
    struct latency_reference
    {
        sliding_quantile recent{256};
        double upperQuartile = 0;
        std::uint32_t sinceUpdate = 0;
    };

    [[nodiscard]] const latency_reference &referenceOf(latency_kind kind) const;
    void addToReference(latency_kind kind, duration latency);
    bool handleSlow(upstream_record &record, time_point now);
    void handleGood(upstream_record &record);
    void eject(upstream_record &record, duration first, bool forSlowness, time_point now);
    [[nodiscard]] bool mayEjectForSlowness() const;

    outlier_detector_options m_options;
    std::map<upstream_id, upstream_record> m_upstreams;
    std::array<latency_reference, 3> m_references; ///< By latency_kind.
    std::uint64_t m_ejections = 0;
};

} // namespace banyan
