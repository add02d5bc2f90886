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
    double slowFactor = 3; ///< A latency above this multiple of the cell's upper quartile is slow.
    duration slowFloor = std::chrono::milliseconds(20); ///< A latency below this is never slow.
    std::uint32_t slowInRow = 3; ///< Consecutive slow answers that eject an upstream.
    std::uint32_t connectFailuresInRow = 2; ///< Consecutive failed connections that eject an upstream.
    std::uint32_t failuresInRow = 3; ///< Consecutive lost, failed or timed-out attempts that eject an upstream.
    double maximumSlowShare = 0.4; ///< Maximum fraction ejected for slowness at once; with two upstreams, one.
    duration slowEjection = std::chrono::seconds(2); ///< First ejection for slowness; doubles with each further one up to longestEjection.
    duration failureEjection = std::chrono::milliseconds(500); ///< First ejection for failures; doubles likewise.
    duration longestEjection = std::chrono::seconds(30);
    std::uint32_t probesToReturn = 2; ///< Consecutive good answers that end the probing of an upstream.
    duration earlyProbeInterval = std::chrono::seconds(1); ///< Time between two probes of an upstream during its ejection.
};

/// The interval that a latency measures. Only latencies of the same kind are compared.
enum class latency_kind {
    FirstToken, ///< Time to the first byte of a streamed answer.
    WholeAnswer, ///< Time to the first byte of an answer that is not streamed.
    Token, ///< Time from one token to the next.
};

/// Detects upstreams that fail or are much slower than the rest of their cell, and ejects them for a limited time.
///
/// Uses only measurements of the dispatcher itself. When its ejection ends, an upstream is probed by one request at a time
/// and returns to rotation after several good answers. Slowness is relative and never ejects more than a fraction of the
/// cell; failures are absolute and may eject all of it.
class outlier_detector
{
public:
    explicit outlier_detector(const outlier_detector_options &options);

    /// Replaces the monitored upstreams, which maximumSlowShare refers to. The state of all others is removed.
    void setUpstreams(const std::set<upstream_id> &upstreams);

    /// Records a latency. Returns true if the upstream is ejected by it.
    bool recordLatency(const upstream_id &upstream, latency_kind kind, duration latency, time_point now);

    /// Records that an attempt has no first byte after slowThreshold(). Returns true if the upstream is ejected by it.
    bool recordOverdue(const upstream_id &upstream, time_point now);

    /// Records a failed attempt. Returns true if the upstream is ejected by it.
    bool recordFailure(const upstream_id &upstream, attempt_outcome outcome, time_point now);

    /// The upstream's condition: Good, Ejected or Probing.
    [[nodiscard]] upstream_condition conditionOf(const upstream_id &upstream, time_point now) const;

    /// Whether the upstream is ejected because attempts at it failed, not because it was slow.
    [[nodiscard]] bool isEjectedForFailures(const upstream_id &upstream, time_point now) const;

    /// Whether the upstream was ejected because it was slow and has not returned to rotation.
    [[nodiscard]] bool isEjectedForSlowness(const upstream_id &upstream) const;

    /// Whether the upstream may be probed although its ejection has not ended. For callers that have no upstream in rotation: an
    /// upstream that is sound again is then found within earlyProbeInterval, however long its ejection is.
    [[nodiscard]] bool mayProbeEarly(const upstream_id &upstream, time_point now) const;

    /// Records that a probe is sent to an upstream that is out of rotation; no effect on others.
    void recordProbe(const upstream_id &upstream, time_point now);

    /// Whether the upstream is ejected, or its ejection ended less than @p memory ago and it has not returned to rotation.
    [[nodiscard]] bool wasRecentlyEjected(const upstream_id &upstream, duration memory, time_point now) const;

    /// Since when the upstream has been in condition Probing; none if it is in another condition.
    [[nodiscard]] std::optional<time_point> probingSince(const upstream_id &upstream, time_point now) const;

    /// The latency above which an answer counts as slow; none while there are too few samples.
    [[nodiscard]] std::optional<duration> slowThreshold(latency_kind kind) const;

    /// The earliest end of an ejection after @p now, if any.
    [[nodiscard]] std::optional<time_point> nextEjectionEnd(time_point now) const;

    /// The earliest time after @p now at which an upstream may be probed early, if any.
    [[nodiscard]] std::optional<time_point> nextEarlyProbe(time_point now) const;

    /// Moving average of an upstream's time to the first byte.
    [[nodiscard]] duration averageLatency(const upstream_id &upstream) const;

    /// Number of ejections since construction.
    [[nodiscard]] std::uint64_t ejections() const
    {
        return m_ejections;
    }

private:
    struct upstream_record
    {
        double averageLatency = 0;
        std::uint32_t slow = 0; ///< Consecutive slow answers.
        std::uint32_t connectFailures = 0; ///< Consecutive.
        std::uint32_t failures = 0; ///< Consecutive failures of other kinds.
        std::uint32_t ejectionsInRow = 0;
        std::uint32_t goodProbes = 0;
        bool outOfRotation = false; ///< Ejected, or being probed before it returns to rotation.
        bool ejectedForSlowness = false;
        time_point ejectedUntil;
        time_point probedAt; ///< Time of the ejection or of the last probe after it.
    };
    struct latency_reference
    {
        sliding_quantile recent{256};
        double upperQuartile = 0;
        std::uint32_t sinceUpdate = 0;
    };

    [[nodiscard]] time_point earlyProbeAt(const upstream_record &record) const;
    [[nodiscard]] const latency_reference &referenceOf(latency_kind kind) const;
    void addToReference(latency_kind kind, duration latency);
    bool handleSlow(upstream_record &record, time_point now);
    void handleGood(upstream_record &record);
    void eject(upstream_record &record, duration first, bool forSlowness, time_point now);
    [[nodiscard]] bool mayEjectForSlowness() const;

    outlier_detector_options m_options;
    std::map<upstream_id, upstream_record> m_upstreams;
    std::array<latency_reference, 3> m_references; ///< Indexed by latency_kind.
    std::uint64_t m_ejections = 0;
};

} // namespace banyan
