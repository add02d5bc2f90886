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

/// Decides what enters the upstreams of one cell, when, and what happens when an attempt goes wrong.
///
/// A cell is a group of up to about 16 upstreams of one pool in one failure domain, owned by one node at a time. The
/// dispatcher holds the only queue before them. Events go in by the member functions; each returns the actions that
/// the host has to carry out, in order. The host calls tick() at nextWakeUp().
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
/// Promises: online work is never queued while batch work holds a slot that it could use (batch work that is not
/// repeatable cannot be taken back and has slots of its own beside those of online work); a request that is not
/// repeatable is sent at most once; NotRun is reported only for a request of which no byte was sent or which each
/// upstream refused; each submitted request gets exactly one finish_request.
class dispatcher
{
public:
    explicit dispatcher(const dispatcher_options &options);
    ~dispatcher();
    dispatcher(dispatcher &&) noexcept;
    dispatcher &operator=(dispatcher &&) noexcept;

    /// Replaces the cell's upstreams. Attempts in flight to upstreams that are gone or leaving go on.
    [[nodiscard]] dispatch_actions setUpstreams(std::span<const upstream_info> upstreams, time_point now);

    /// Takes a request in, or finishes it at once.
    /// @throws std::invalid_argument if a request with this id is in the dispatcher already.
    [[nodiscard]] dispatch_actions submit(const dispatch_request &request, time_point now);

    /// Reports the first byte of an attempt's answer.
    [[nodiscard]] dispatch_actions firstByte(attempt_id attempt, time_point now);

    /// Reports that @p tokens more tokens of a streamed answer have come since the last report or the first byte. Optional:
    /// it finds an upstream that slows down in the middle of its answers. A few reports a second for each attempt are enough.
    [[nodiscard]] dispatch_actions progressed(attempt_id attempt, std::uint32_t tokens, time_point now);

    /// Reports an attempt's end. An attempt that is not known any more is ignored.
    [[nodiscard]] dispatch_actions attemptEnded(attempt_id attempt, const attempt_result &result, time_point now);

    /// Ends a request on its caller's wish; waiting work is dropped, attempts in flight are cancelled.
    [[nodiscard]] dispatch_actions cancel(const request_id &request, time_point now);

    /// Takes in an upstream's own load report, which may be old.
    void loadReported(const upstream_id &upstream, std::uint32_t running, std::uint32_t waiting, time_point reportedAt, time_point now);

    /// Stops taking work in: what waits is finished as NotRun with Draining, what is in flight goes on.
    [[nodiscard]] dispatch_actions drain(time_point now);

    /// Does what has come due: deadlines, hedges, probes, delayed retries.
    [[nodiscard]] dispatch_actions tick(time_point now);

    /// When tick() is next needed, if at all.
    [[nodiscard]] std::optional<time_point> nextWakeUp() const;

    /// How busy the cell is.
    [[nodiscard]] cell_load load(time_point now) const;

    /// Contents that are refused because they crash upstreams; to be told to other dispatchers.
    [[nodiscard]] std::vector<quarantined_fingerprint> stoppedFingerprints(time_point now) const;

    /// Refuses a content that another dispatcher has stopped. Requests of it that are in the dispatcher go on.
    void stopFingerprint(std::uint64_t fingerprint, time_point until, time_point now);

    /// The upstreams of the cell and those that have left it with work in progress.
    [[nodiscard]] std::vector<upstream_status> upstreams(time_point now) const;

    /// What has been done so far.
    [[nodiscard]] dispatcher_counters counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
