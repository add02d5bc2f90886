#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/cell_load.h"
#include "banyan/core/dispatch_action.h"
#include "banyan/core/dispatch_request.h"
#include "banyan/core/dispatcher_counters.h"
#include "banyan/core/dispatcher_options.h"
#include "banyan/core/quarantined_fingerprint.h"
#include "banyan/core/upstream_info.h"
#include "banyan/core/upstream_status.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace banyan {

/// Schedules the requests of one cell onto its upstreams, and retries, hedges or ends those whose attempts fail.
///
/// A cell is a group of up to about 16 upstreams of one pool in one failure domain, owned by one node at a time. The
/// dispatcher holds the only queue in front of them. The host reports events through the member functions, carries out
/// the returned actions in order, and calls tick() at nextWakeUp().
///
/// @code
/// dispatcher cell({.initialSlots = 4});
/// cell.setUpstreams(upstreams, now);
/// perform(cell.submit(request, now));
/// // when bytes arrive from an upstream:
/// perform(cell.firstByte(attempt, now));
/// // when the attempt is over:
/// perform(cell.attemptEnded(attempt, {.outcome = attempt_outcome::Succeeded}, now));
/// @endcode
///
/// Guarantees: online work is never queued while batch work holds a slot that it could use (batch work that is not
/// repeatable cannot be preempted and has slots of its own beside those of online work); a request that is not
/// repeatable is sent at most once; NotRun is reported only for a request of which no byte was sent or that was
/// rejected by each upstream it was sent to; each submitted request gets exactly one finish_request.
class dispatcher
{
public:
    explicit dispatcher(const dispatcher_options &options);
    ~dispatcher();
    dispatcher(dispatcher &&) noexcept;
    dispatcher &operator=(dispatcher &&) noexcept;

    /// Replaces the cell's upstreams. Attempts in flight to removed or leaving upstreams continue.
    [[nodiscard]] dispatch_actions setUpstreams(std::span<const upstream_info> upstreams, time_point now);

    /// Starts or queues a request, or finishes it at once if it is rejected.
    /// @throws std::invalid_argument if the dispatcher already holds a request with this id.
    [[nodiscard]] dispatch_actions submit(const dispatch_request &request, time_point now);

    /// Reports the first byte of an attempt's answer.
    [[nodiscard]] dispatch_actions firstByte(attempt_id attempt, time_point now);

    /// Reports that @p tokens more tokens of a streamed answer have arrived since the last report or the first byte. Optional:
    /// used to detect an upstream that slows down during its answers. A few reports per second and attempt are enough.
    [[nodiscard]] dispatch_actions progressed(attempt_id attempt, std::uint32_t tokens, time_point now);

    /// Reports the end of an attempt. An attempt that the dispatcher no longer tracks is ignored.
    [[nodiscard]] dispatch_actions attemptEnded(attempt_id attempt, const attempt_result &result, time_point now);

    /// Cancels a request on behalf of its caller: removes it from the queue and cancels its attempts in flight.
    [[nodiscard]] dispatch_actions cancel(const request_id &request, time_point now);

    /// Applies a load report of an upstream, which may be out of date.
    void loadReported(const upstream_id &upstream, std::uint32_t running, std::uint32_t waiting, time_point reportedAt, time_point now);

    /// Rejects new requests from now on and finishes waiting ones with reason Draining. Attempts in flight continue.
    [[nodiscard]] dispatch_actions drain(time_point now);

    /// Handles the timers that are due: deadlines, hedges, probes, delayed retries.
    [[nodiscard]] dispatch_actions tick(time_point now);

    /// When tick() is next needed, if at all.
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;

    /// The cell's queue lengths, requests in flight, slots and expected waiting time.
    [[nodiscard]] cell_load load(time_point now) const;

    /// The contents quarantined because they crash upstreams, for distribution to other dispatchers.
    [[nodiscard]] std::vector<quarantined_fingerprint> quarantinedFingerprints(time_point now) const;

    /// Rejects a content that another dispatcher has quarantined until @p until. Requests already accepted continue.
    void quarantineFingerprint(std::uint64_t fingerprint, time_point until, time_point now);

    /// The upstreams of the cell, and removed ones that still have attempts in flight.
    [[nodiscard]] std::vector<upstream_status> upstreams(time_point now) const;

    /// The counters since construction.
    [[nodiscard]] dispatcher_counters counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
