#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/path_change.h"
#include "banyan/core/serving/path_options.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace banyan {

/// How the attempt to open a connection to an upstream has ended.
enum class connect_outcome {
    Established,
    Refused, ///< At once. Connections that were established earlier may live on.
    TimedOut,
};

/// Decides by this node's own evidence which upstreams it reaches itself.
///
/// A silent upstream says nothing about the path to it: it may compute, or stand still. So silence only leads to a probe, which is
/// the attempt to open a connection; the system of an upstream's machine answers that within a round trip, whatever the
/// upstream does. A path is lost when a connection cannot be opened, and open again when one can. An upstream that has ended
/// looks the same from here; the difference is told by the other nodes that are asked to forward to it.
///
/// Upstreams form groups: all of them, and those of each failure domain. When several paths of a group are lost and nothing has been
/// heard from the group since the evidence began, the group's other paths count as lost as well, before each has failed a request.
///
/// @code
/// path_monitor monitor;
/// monitor.setUpstreams(registered);
/// monitor.waits(run, upstream, now);            // a request was sent
/// monitor.heard(run, now);                      // a byte of its answer
/// for (const upstream_id &probed : monitor.takeProbes(now)) { ... monitor.connected(probed, startedAt, allowed, outcome, now); }
/// @endcode
class path_monitor
{
public:
    using run_number = std::uint64_t;

    explicit path_monitor(const path_options &options = {});

    /// Replaces the upstreams. The paths of those that stay keep their state.
    void setUpstreams(std::span<const replica> upstreams);

    /// Records that a run has begun to wait for an answer of @p upstream over a connection of this node.
    void waits(run_number run, const upstream_id &upstream, time_point now);

    /// Records a byte of a run's answer.
    void heard(run_number run, time_point now);

    /// Records that a run does not wait any more.
    void ended(run_number run);

    /// Records what came of opening a connection, begun at @p startedAt with @p allowed as its longest time.
    void connected(const upstream_id &upstream, time_point startedAt, duration allowed, connect_outcome outcome, time_point now);

    /// Whether runs for the upstream should go another way.
    [[nodiscard]] bool isLost(const upstream_id &upstream) const;

    /// Whether a failure at the upstream may be the path's: it is lost or being probed.
    [[nodiscard]] bool isDoubtful(const upstream_id &upstream) const;

    /// Whether only this upstream, and not this node's way to all, is the reason: another one was heard after a connection to it had failed.
    [[nodiscard]] bool isLostAlone(const upstream_id &upstream) const;

    /// Upstreams with lost paths.
    [[nodiscard]] std::vector<upstream_id> lost() const;

    /// Number of upstreams.
    [[nodiscard]] std::size_t size() const
    {
        return m_paths.size();
    }

    /// Upstreams to which a connection should be opened now. Each is given once, until connected() reports on it.
    [[nodiscard]] std::vector<upstream_id> takeProbes(time_point now);

    /// When takeProbes() should be called next, if nothing else happens before.
    [[nodiscard]] std::optional<time_point> nextWakeUp(time_point now) const;

    /// What has changed since the last call.
    [[nodiscard]] std::vector<path_change> takeChanges();

private:
    struct path
    {
        failure_domain domain;
        std::optional<time_point> heardAt; ///< Last byte or established connection.
        std::optional<time_point> failedAt; ///< Begin of the first failed attempt to connect since the last established one.
        std::optional<time_point> probedAt; ///< Last probe.
        duration probePause; ///< Between two probes while it is lost; doubles with each failure.
        std::string evidence; ///< Of the failure.
        std::optional<time_point> provenAt; ///< Begin of the last established attempt.
        bool lost = false;
        bool lostByGroup = false; ///< Lost, and told as part of a group.
        bool probing = false;
    };

    struct waiting_run
    {
        upstream_id upstream;
        time_point since; ///< When it was sent, or its last byte.
    };

    using member = std::pair<const upstream_id, path>;

    [[nodiscard]] duration spacing() const;
    [[nodiscard]] std::optional<upstream_id> silentUpstream(time_point now) const;
    [[nodiscard]] std::optional<upstream_id> nextLost(bool isRecheck, time_point now) const;
    [[nodiscard]] std::optional<upstream_id> nextWitness(time_point now) const;
    void open(const upstream_id &upstream, path &opened, time_point startedAt, time_point now);
    void lose(const upstream_id &upstream, path &failed, time_point startedAt, connect_outcome outcome, time_point now);
    void reviewGroup(const failure_domain *domain, time_point now);
    bool probe(const std::optional<upstream_id> &upstream, time_point now, std::vector<upstream_id> &probes);

    path_options m_options;
    std::map<upstream_id, path> m_paths;
    std::map<run_number, waiting_run> m_waiting;
    std::size_t m_lost = 0;
    std::size_t m_probing = 0;
    std::optional<time_point> m_probedAt;
    std::optional<time_point> m_heardAt; ///< Of any upstream.
    std::size_t m_witnesses = 0; ///< Open paths to probe at once, since one has just been lost.
    std::size_t m_rechecks = 0; ///< Lost paths to probe at once, since one is open again.
    std::vector<path_change> m_changes;
};

} // namespace banyan
