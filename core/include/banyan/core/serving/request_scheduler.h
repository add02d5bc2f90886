#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/serving/allowed_rate.h"
#include "banyan/core/serving/caller_counts.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/placement_report.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/request_scheduler_options.h"
#include "banyan/core/serving/slot_action.h"
#include "banyan/core/serving/slot_request.h"
#include "banyan/core/serving/upstream_usage.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace banyan {

class load_board;

/// Decides which run is sent to which upstream, and when, on a node that shares the upstreams with other nodes.
///
/// A node schedules requests from its own work in flight and from the load that the other nodes report. The host passes
/// events to the member functions, carries out the returned actions in order, and calls tick() at nextWakeUp().
///
/// @code
/// request_scheduler scheduler({.self = self}, board);
/// perform(scheduler.setUpstreams(registered, now));
/// perform(scheduler.submit(run, now));      // slot_granted, slot_rejected, or neither yet
/// perform(scheduler.firstByte(run.id, now));
/// perform(scheduler.released(run.id, {.outcome = attempt_outcome::Succeeded}, now));
/// @endcode
///
/// Load patterns that it handles:
/// - bursts of online work: batch runs are preempted at once, those of this node first; other nodes preempt theirs when they
///   see more work at an upstream than it has slots;
/// - periods of low online load: batch work fills all slots except those that online work will need before other nodes can
///   preempt their batch runs;
/// - more online work than slots: a run that cannot start in time is rejected at once, and its client is told to retry when
///   the burst is expected to be over (retry_after_estimator); runs that will be late wait behind those that can be in time;
/// - callers that send many times their usual: callers share the slots within each urgency (waiting_runs), and what exceeds
///   the slots is rejected from less urgent work and from the caller that has most of the queue;
/// - nodes that forward late: only their own runs count as late (first_byte_estimate);
/// - more batch work than slots: items that can still complete in time run first (batch_order);
/// - upstreams that limit their rate: they are used up to their rates, by online work first, and what exceeds them runs
///   elsewhere or is rejected like work that exceeds the slots;
/// - many nodes: a run prefers an upstream to which its node has an idle connection (held_connections);
/// - upstreams that fail or do not respond: avoided on the evidence of this node alone or of two nodes together.
class request_scheduler
{
public:
    /// @p board must outlive the scheduler.
    request_scheduler(const request_scheduler_options &options, const load_board &board);
    ~request_scheduler();

    /// Replaces the upstreams. Runs in flight at a removed upstream continue.
    [[nodiscard]] slot_actions setUpstreams(std::span<const replica> upstreams, time_point now);

    /// Replaces the rates at which this node may start runs at upstreams that limit their rate. All
    /// other upstreams are unlimited. Runs wait for a rate-limited upstream as they do for a slot.
    [[nodiscard]] slot_actions setAllowedRates(const std::map<upstream_id, allowed_rate> &rates, time_point now);

    /// Adds a run that needs a slot. @throws std::invalid_argument if a run with this id is already waiting or running
    [[nodiscard]] slot_actions submit(const slot_request &request, time_point now);

    /// Removes a waiting run. Has no effect if the run is unknown or already has a slot.
    void cancel(const request_id &request);

    /// Takes over a run whose slot another node granted but no longer counts. It ends with released(), like a run that was
    /// granted here.
    void adopt(const slot_request &request, const upstream_id &upstream, bool answerHasBegun, time_point grantedAt);

    /// Reports the first byte of a run's answer.
    void firstByte(const request_id &request, time_point now);

    /// Reports that the first byte arrived @p taken after the grant.
    void firstByteAfter(const request_id &request, duration taken, time_point now);

    /// Reports the end of a run, which frees its slot.
    [[nodiscard]] slot_actions released(const request_id &request, const attempt_result &result, time_point now);

    /// Reports that the load board has changed.
    [[nodiscard]] slot_actions loadChanged(time_point now);

    /// Carries out the work that is due at @p now.
    [[nodiscard]] slot_actions tick(time_point now);

    /// The time at which tick() must be called next, if any.
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;

    /// The time after its grant at which a run of the service without a first byte counts as overdue.
    [[nodiscard]] duration overdueAfter(const service_name &service) const;

    /// The same for a run at @p upstream, which may usually be slower than the others.
    [[nodiscard]] duration overdueAfter(const service_name &service, const upstream_id &upstream) const;

    /// This node's own work in flight, by upstream, and the upstreams that it sees as degraded.
    [[nodiscard]] std::map<upstream_key, upstream_usage> usage(time_point now) const;

    /// What this node has learned about the speeds of the upstreams of each service, for logs and metrics.
    [[nodiscard]] std::vector<placement_report> placement(time_point now) const;

    /// Online requests waiting for a slot, by service, for this node's load reports. Services without any are omitted.
    [[nodiscard]] std::map<service_key, std::uint32_t> waitingByService() const;

    /// The number of online requests waiting for a slot.
    [[nodiscard]] std::uint32_t waitingOnline() const;

    /// The number of batch runs waiting for a slot.
    [[nodiscard]] std::uint32_t waitingBatch() const;

    /// What became of the online runs of each caller at this node.
    [[nodiscard]] const caller_counts &callerCounts() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// The key of an upstream in load reports between nodes.
[[nodiscard]] upstream_key keyOf(const upstream_id &upstream);

/// The key of one start of an upstream: an upstream that restarts gets a new key.
[[nodiscard]] upstream_key keyOfStart(const upstream_id &upstream, std::uint64_t startedAt);
[[nodiscard]] upstream_key keyOfStart(const replica &upstream);

/// The key of a service in load reports between nodes.
[[nodiscard]] service_key keyOf(const service_name &service);

} // namespace banyan
