#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/serving/node_load.h"
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

namespace banyan {

class load_board;

/// Decides which run goes to which upstream, and when, at a node that shares the upstreams with others.
///
/// Each node places its own requests by what it has in flight itself and what the others say they have. Events go in by
/// the member functions; each returns the actions that the host has to carry out, in order. The host calls tick() at
/// nextWakeUp().
///
/// @code
/// request_scheduler scheduler({.self = self}, board);
/// perform(scheduler.setUpstreams(registered, now));
/// perform(scheduler.submit(run, now));      // slot_granted, slot_refused, or neither yet
/// perform(scheduler.firstByte(run.id, now));
/// perform(scheduler.released(run.id, {.outcome = attempt_outcome::Succeeded}, now));
/// @endcode
///
/// Load patterns that it answers:
/// - bursts of online work: batch runs give up their slots at once, those of this node first; the others yield when they
///   see an upstream with more than its slots;
/// - lulls: batch work fills all slots but those that online work will need before other nodes can react;
/// - more online work than slots: what cannot begin in time is refused at once, and comes back when the burst should be over
///   (return_forecast);
/// - more batch work than slots: what can still be done in time goes first (batch_order);
/// - many nodes: a run goes where its node has an idle connection (held_connections);
/// - upstreams that fail or fall silent: avoided on this node's own evidence or that of two nodes together.
class request_scheduler
{
public:
    /// @p board must outlive the scheduler.
    request_scheduler(const request_scheduler_options &options, const load_board &board);
    ~request_scheduler();

    /// Replaces the upstreams. Runs in flight at one that is gone go on.
    [[nodiscard]] slot_actions setUpstreams(std::span<const replica> upstreams, time_point now);

    /// Takes in a run that wants a slot. @throws std::invalid_argument if its id waits or runs already
    [[nodiscard]] slot_actions submit(const slot_request &request, time_point now);

    /// Forgets a run that waits; one that is unknown or has its slot is left as it is.
    void cancel(const request_id &request);

    /// Takes over a run that another node had granted a slot, which does not count it any more. It is ended like one that
    /// was granted here.
    void adopt(const slot_request &request, const upstream_id &upstream, bool answerHasBegun, time_point grantedAt);

    /// Reports the first byte of a run's answer.
    void firstByte(const request_id &request, time_point now);

    /// Reports that the first byte came @p taken after the grant.
    void firstByteAfter(const request_id &request, duration taken, time_point now);

    /// Reports the end of a run, which frees its slot.
    [[nodiscard]] slot_actions released(const request_id &request, const attempt_result &result, time_point now);

    /// The board has changed.
    [[nodiscard]] slot_actions loadChanged(time_point now);

    /// Does what has come due.
    [[nodiscard]] slot_actions tick(time_point now);

    /// When tick() is next needed, if at all.
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;

    /// Without a first byte after this time a run at an upstream of the service counts as overdue.
    [[nodiscard]] duration overdueAfter(const service_name &service) const;

    /// This node's own work in flight.
    [[nodiscard]] std::map<upstream_key, upstream_usage> usage(time_point now) const;

    /// Online requests that wait for a slot, for this node's reports; services without any are left out.
    [[nodiscard]] std::map<service_key, std::uint32_t> waitingByService() const;

    /// Online requests that wait for a slot.
    [[nodiscard]] std::uint32_t waitingOnline() const;

    /// Batch runs that wait for a slot.
    [[nodiscard]] std::uint32_t waitingBatch() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// The key of an upstream in reports between nodes.
[[nodiscard]] upstream_key keyOf(const upstream_id &upstream);

/// The same for one start of an upstream.
[[nodiscard]] upstream_key keyOfStart(const upstream_id &upstream, std::uint64_t startedAt);
[[nodiscard]] upstream_key keyOfStart(const replica &upstream);

/// The key of a service in reports between nodes.
[[nodiscard]] service_key keyOf(const service_name &service);

} // namespace banyan
