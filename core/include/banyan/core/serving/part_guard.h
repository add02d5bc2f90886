#pragma once

#include "banyan/core/quarantined_fingerprint.h"
#include "banyan/core/serving/part_loss.h"
#include "banyan/core/serving/prompt_run.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyan {

/// Options of a part_guard.
struct part_guard_options
{
    std::size_t stopThreshold = 3; ///< Lost upstreams at which a part is stopped.
    std::size_t confirmThreshold = 2; ///< The same for a part that is stopped together with others, and was lost without them.
    std::size_t minimumContents = 2; ///< Of the lost runs; a single content that crashes upstreams is the crash_guard's matter.
    duration stopDuration = std::chrono::seconds(60); ///< Of the first stop; doubled for each further one. Also how long losses are kept.
    duration proofDuration = std::chrono::seconds(10); ///< How long after an answer no loss counts against its parts.
    duration reportPeriod = std::chrono::seconds(1); ///< How long observations are reported: several reports, some of which may be lost.
    duration unansweredRetention = std::chrono::seconds(10); ///< How long runs without an answer wait for the end of their upstream.
    std::size_t maximumParts = 2048; ///< Suspected parts, and as many stopped ones; the oldest are forgotten first.
    std::size_t maximumProofs = 8192; ///< Parts that were answered lately.
    std::size_t maximumReported = 64; ///< Losses, and as many proofs, in one report.
};

/// Finds the parts of prompts that crash the upstreams that begin to answer them, whatever else the requests hold.
///
/// A crash loses all runs of an upstream at once, so that each of their parts that has not begun to be answered becomes a
/// suspect. Three kinds of evidence separate the part that crashes from the others:
/// - An answer on a part proves it sound, at any node. Its suspicion ends, and so does its stop.
/// - A crash that a stopped part explains does not count against the other parts that were lost in it.
/// - Parts that were lost at the same upstreams cannot be told apart: they are stopped together, and only requests that hold all of
///   them are rejected. An answer to a request that holds some of them tells them apart, as do further losses.
///
/// A lost connection does not show that its upstream has crashed. A loss counts at once, since a crash must not be repeated while
/// it is being confirmed, and is refuted when the same start of its upstream proves to run on. A stop that depends on it ends then.
///
/// Nodes exchange their losses, and proofs of parts that are suspected.
class part_guard
{
public:
    explicit part_guard(const part_guard_options &options);

    /// Records that a run was lost with its upstream before its answer had begun. Returns the parts that are stopped because of it.
    std::vector<std::uint64_t> recordLoss(const prompt_run &run, upstream_key upstream, time_point now);

    /// Records the losses that another node has reported. Those that are new here are reported on if @p forward is set. Returns
    /// the parts that are stopped because of them.
    std::vector<std::uint64_t> recordRemoteLosses(const std::vector<part_loss> &losses, bool forward, time_point now);

    /// Records that an upstream has begun to answer a run, or has answered it.
    void recordProof(const prompt_run &run, time_point now);

    /// Records proofs that another node has reported. Those that end a suspicion are reported on if @p forward is set.
    void recordRemoteProofs(const std::vector<std::uint64_t> &parts, bool forward, time_point now);

    /// Records that a run was abandoned without an answer, as when an upstream ends without closing its connections.
    void recordUnanswered(const prompt_run &run, upstream_key upstream, time_point now);

    /// Counts the runs that an ended upstream left unanswered as lost. Returns the parts that are stopped because of them.
    std::vector<std::uint64_t> recordUpstreamEnd(upstream_key upstream, time_point now);

    /// Records that a start of an upstream was still running at @p aliveAt, which refutes earlier losses at it. Returns the parts whose
    /// stop ends because the other losses would not have decided it.
    std::vector<std::uint64_t> recordAlive(upstream_key upstream, time_point aliveAt, time_point now);

    /// Until when a request with these parts is to be rejected; none if it is not.
    [[nodiscard]] std::optional<time_point> stoppedUntil(const prompt_run &run, time_point now) const;

    /// Stops a part that another node has stopped, unless it was answered here lately. Requests are rejected if they hold the parts
    /// in @p together as well; for a part that is stopped here already, those that both nodes know of. The stop was decided from
    /// losses at @p lostUpstreams; without them nothing but an answer ends it early.
    void
    stop(std::uint64_t part, const std::set<std::uint64_t> &together, time_point now, const std::set<upstream_key> &lostUpstreams = {});

    /// The parts that cannot be told apart from a stopped one.
    [[nodiscard]] std::set<std::uint64_t> stoppedTogetherWith(std::uint64_t part) const;

    /// The upstreams whose loss has decided the stop of a part, without those that run on.
    [[nodiscard]] std::set<upstream_key> stoppedBecauseOf(std::uint64_t part) const;

    /// All parts that are stopped at @p now.
    [[nodiscard]] std::vector<quarantined_fingerprint> stopped(time_point now) const;

    /// Whether the part was stopped, now or before.
    [[nodiscard]] bool isPart(std::uint64_t fingerprint) const
    {
        return m_stops.contains(fingerprint);
    }

    /// Parts that are stopped because of losses some of which this node observed itself.
    [[nodiscard]] const std::set<std::uint64_t> &locallyStopped() const
    {
        return m_locallyStopped;
    }

    /// Losses and proofs to be reported to other nodes.
    [[nodiscard]] std::vector<part_loss> lossesToReport(time_point now);
    [[nodiscard]] std::vector<std::uint64_t> proofsToReport(time_point now);

    /// Number of upstreams that were lost with runs of the part, and are not explained by another one.
    [[nodiscard]] std::size_t lossCount(std::uint64_t part) const;

private:
    using loss_times = std::map<upstream_key, time_point>; ///< Lost upstreams, and when each loss became known.

    struct suspicion
    {
        loss_times losses; ///< Of upstreams with runs of the part, not explained by another one.
        std::set<std::uint64_t> contents; ///< Of these runs; at most minimumContents.
        time_point lostAt; ///< Time of the last loss.
        bool isLocal = false; ///< Whether this node has observed one of the losses.
    };
    struct stop_record
    {
        time_point until;
        std::uint32_t count = 0; ///< Number of stops so far.
        std::set<std::uint64_t> together; ///< Parts that a request has to hold as well to be rejected.
        loss_times losses; ///< From which the stop was decided; refuted ones are removed.
        std::set<std::uint64_t> contents; ///< Of the lost runs; at most minimumContents.
        std::size_t requiredLosses = 0; ///< With fewer losses the stop ends.
    };
    struct unanswered_run
    {
        prompt_run run;
        upstream_key upstream = 0;
        time_point at;
    };

    [[nodiscard]] bool isProven(std::uint64_t part, time_point now) const;
    [[nodiscard]] bool isStopped(std::uint64_t part, time_point now) const;
    void markProven(std::uint64_t part, time_point now);
    bool clear(std::uint64_t part);
    std::vector<std::uint64_t> count(const prompt_run &run, upstream_key upstream, bool report, bool isLocal, time_point now);
    bool addSuspicion(const part_loss &loss, bool isLocal, time_point now);
    std::vector<std::uint64_t> decide(std::vector<std::uint64_t> parts, time_point now);
    [[nodiscard]] bool isCulprit(std::uint64_t part, time_point now) const;
    [[nodiscard]] bool isOutdone(const suspicion &entry) const;
    [[nodiscard]] std::vector<std::uint64_t> lostLike(std::uint64_t part) const;
    void stopTogether(const std::vector<std::uint64_t> &parts, time_point now);
    stop_record &renewStop(std::uint64_t part, time_point now);
    void addLosses(stop_record &entry, const suspicion &evidence) const;
    void release(std::uint64_t part, time_point now);
    void explain(upstream_key upstream, time_point now);
    void forgetOld(time_point now);
    void reportLosses(const std::vector<part_loss> &losses, time_point now);
    void reportProof(std::uint64_t part, time_point now);

    part_guard_options m_options;
    std::unordered_map<std::uint64_t, suspicion> m_suspects;
    std::unordered_map<std::uint64_t, stop_record> m_stops; ///< Also ended ones, as long as their duration.
    std::set<std::uint64_t> m_locallyStopped;
    std::map<upstream_key, time_point> m_explained; ///< Lost upstreams with runs of a stopped part, and when that became known.
    std::unordered_map<std::uint64_t, time_point> m_proofs; ///< When parts were answered last,
    std::unordered_map<std::uint64_t, time_point> m_olderProofs; ///< and before m_proofs was begun anew.
    time_point m_proofsSince;
    std::deque<unanswered_run> m_unanswered; ///< Ordered by time.
    std::deque<std::pair<time_point, part_loss>> m_reportedLosses; ///< Ordered by time.
    std::deque<std::pair<time_point, std::uint64_t>> m_reportedProofs; ///< Ordered by time.
};

} // namespace banyan
