#include "banyan/io/serving/request_relay.h"

#include "attempt_names.h"
#include "banyan/core/crash_guard.h"
#include "banyan/core/serving/request_scheduler.h"
#include "banyan/core/serving/retry_policy.h"
#include "banyan/core/serving/run_id.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_error.h"
#include "banyan/io/http_exchange.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/serving/part_watch.h"
#include "banyan/io/serving/slot_broker.h"
#include "banyan/io/serving/stop_signal.h"
#include "banyan/io/serving/stream_versions.h"
#include "banyan/io/serving/upstream_sender.h"
#include "organisation_gate.h"
#include "relayed_stream.h"

#include <boost/asio/steady_timer.hpp>
#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace banyan {

namespace {

constexpr std::uint32_t crashLimit = 3; // Number of upstreams a content may crash before it is quarantined.
constexpr duration contentQuarantineDuration = std::chrono::seconds(60); // Longer than clients keep retrying the same content.
constexpr duration defaultTimeout = std::chrono::seconds(60); // Of a route that sets none; a request may set a shorter one.

/// Pieces of a streamed body after which its run has begun to answer, and the crash of its upstream is not blamed on its prompt.
constexpr std::uint32_t piecesOfBegunAnswer = 2;

/// Name of the metric that counts losses with this verdict.
std::string_view counterOf(loss_verdict verdict)
{
    switch (verdict) {
    case loss_verdict::AlreadyCounted:
        return "content_loss_known";
    case loss_verdict::Counted:
        return "content_loss_counted";
    case loss_verdict::CountedInMassLoss:
        return "content_loss_excused";
    case loss_verdict::Quarantined:
        return "content_loss_stopped";
    case loss_verdict::Exempt:
        return "content_loss_innocent";
    }
    return "content_loss_unknown";
}

/// Why a request was cancelled before its answer was complete.
enum class stop_cause {
    None,
    ClientGone,
    Deadline,
};

/// A loss and the time at which it was recorded.
struct recorded_loss
{
    lost_content content;
    time_point at;
};

} // namespace

class request_relay::implementation
{
public:
    implementation(const request_relay_ports &ports, upstream_protocol protocol)
        : m_ports(ports)
        , m_protocol(std::move(protocol))
        , m_crashes({.quarantineThreshold = crashLimit,
                     .massLossQuarantineThreshold = crashLimit,
                     .quarantineDuration = contentQuarantineDuration})
    {
    }

    class relayed_request;

    void recordUnansweredAttempt(std::uint64_t fingerprint, upstream_key incarnation, time_point now)
    {
        m_crashes.recordUnanswered(fingerprint, idOf(incarnation), now);
    }

    void upstreamEnded(upstream_key incarnation, time_point now)
    {
        for (const std::uint64_t fingerprint : m_crashes.takeUnanswered(idOf(incarnation), now)) {
            recordLostAttempt(fingerprint, incarnation, now);
        }
    }

    void upstreamAlive(upstream_key incarnation, time_point aliveAt)
    {
        std::erase_if(m_recentLosses, [&](const recorded_loss &loss) {
            return loss.content.upstream == incarnation && loss.at < aliveAt;
        });
        for (const std::uint64_t fingerprint : m_crashes.recordAlive(idOf(incarnation), aliveAt)) {
            m_ports.metrics.count("content_loss_refuted");
            logEvent(log_level::Info,
                     "content_loss_refuted",
                     {{"fingerprint", std::to_string(fingerprint)},
                      {"upstream_key", std::to_string(incarnation)},
                      {"upstreams_lost", std::to_string(m_crashes.lossCount(fingerprint))}});
        }
    }

    void recordLostAttempt(std::uint64_t fingerprint, upstream_key incarnation, time_point now)
    {
        const lost_content lost{.fingerprint = fingerprint, .upstream = incarnation};
        m_crashes.setUpstreamCount(m_ports.slots.scheduler().upstreamCount());
        const bool isQuarantined = countLoss(lost, "self", now) == loss_verdict::Quarantined;
        std::erase_if(m_locallyQuarantined, [&](std::uint64_t earlier) {
            return !m_crashes.quarantinedUntil(earlier, now);
        });
        if (isQuarantined) {
            m_locallyQuarantined.insert(fingerprint);
        }
        std::erase_if(m_recentLosses, [&](const recorded_loss &loss) {
            return now - loss.at > lossReportPeriod;
        });
        m_recentLosses.push_back({.content = lost, .at = now});
    }

    /// Identifies an incarnation of an upstream by its key, because other nodes report only the key.
    static upstream_id idOf(upstream_key incarnation)
    {
        return upstream_id(std::to_string(incarnation));
    }

    loss_verdict countLoss(const lost_content &lost, std::string_view seenBy, time_point now)
    {
        const loss_verdict verdict = m_crashes.recordLoss(lost.fingerprint, idOf(lost.upstream), now);
        if (verdict == loss_verdict::AlreadyCounted) {
            return verdict; // Other nodes report each loss several times.
        }
        m_ports.metrics.count(counterOf(verdict));
        logEvent(verdict == loss_verdict::Quarantined ? log_level::Warning : log_level::Info,
                 "content_lost",
                 {{"fingerprint", std::to_string(lost.fingerprint)},
                  {"upstream_key", std::to_string(lost.upstream)},
                  {"seen_by", std::string(seenBy)},
                  {"verdict", std::string(toString(verdict))},
                  {"upstreams_lost", std::to_string(m_crashes.lossCount(lost.fingerprint))}});
        return verdict;
    }

private:
    friend class request_relay;

    request_relay_ports m_ports;
    upstream_protocol m_protocol;
    crash_guard m_crashes;
    std::set<std::uint64_t> m_locallyQuarantined; ///< Fingerprints quarantined because of losses that this node observed.
    std::deque<recorded_loss> m_recentLosses;
    std::set<relayed_request *> m_active; ///< Requests in progress.
    std::optional<time_point> m_lastStart; ///< Set while the node shuts down; see beginShutdown().
    time_point m_end;
    std::uint64_t m_arrivals = 0;
    std::optional<time_point> m_firstAnswerAt;
};

/// State of one request from its arrival to its answer.
class request_relay::implementation::relayed_request : public std::enable_shared_from_this<relayed_request>
{
public:
    relayed_request(implementation &relay,
                    http_exchange &exchange,
                    client_request request,
                    const route &matchedRoute,
                    std::uint64_t version)
        : m_relay(relay)
        , m_exchange(exchange)
        , m_request(std::move(request))
        , m_route(matchedRoute)
        , m_version(version)
        , m_service(serviceFor(matchedRoute, m_request.resumes.value_or(m_request.id))) // The id that chose it for the stream.
        , m_deadline(deadlineOf(m_request, matchedRoute))
        , m_retries(matchedRoute, m_deadline)
        , m_stream(m_request, matchedRoute)
        , m_fingerprint(fingerprint(m_request.target, m_request.body))
        , m_promptRun({.content = m_fingerprint, .parts = relay.m_ports.sender.sharedParts(m_request.fields)})
        , m_timer(relay.m_ports.context)
    {
        relay.m_active.insert(this);
        m_serial = ++relay.m_arrivals;
        if (m_stream.continues() && relay.m_ports.versions != nullptr) {
            (void)bindTo(relay.m_ports.versions->originOf(m_stream.key()));
        }
    }
    ~relayed_request()
    {
        m_relay.m_active.erase(this);
    }
    relayed_request(const relayed_request &) = delete;
    relayed_request &operator=(const relayed_request &) = delete;

    task<> run()
    {
        if (!canFinish(currentTime())) {
            co_await endWithoutAttempt(end_reason::Draining, duration(0)); // Another node can take it at once.
            co_return;
        }
        if (m_deadline <= currentTime()) { // Its body has taken all the time that there was.
            co_await endWithoutAttempt(end_reason::DeadlineUnreachable, notRunRetryAfter);
            co_return;
        }
        watchClientAndTime();
        if (const auto until = quarantinedUntil()) {
            co_await rejectQuarantined(*until);
            co_return;
        }
        if (!co_await isWithinLimit()) {
            co_return;
        }
        try {
            bool hasEnded = false;
            while (!hasEnded) {
                hasEnded = co_await tryOnce();
            }
        } catch (const boost::system::system_error &) {
            // Only writes to the client throw this.
            recordEnd({.what = disposition::Cancelled, .reason = end_reason::CancelledByCaller});
        }
    }

    /// Ends the request at @p end at the latest.
    void endBy(time_point end)
    {
        if (end < m_deadline) {
            m_deadline = end;
            startTimer();
        }
    }

private:
    static time_point deadlineOf(const client_request &request, const route &matchedRoute)
    {
        const duration routeTimeout = matchedRoute.timeout > duration(0) ? matchedRoute.timeout : defaultTimeout;
        return request.arrivedAt + std::min(routeTimeout, request.timeLeft.value_or(routeTimeout));
    }

    void watchClientAndTime()
    {
        // The handlers may be called after the request has ended.
        m_exchange.onDisconnect([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->stop(stop_cause::ClientGone);
            }
        });
        if (m_relay.m_lastStart) {
            m_deadline = std::min(m_deadline, m_relay.m_end);
        }
        startTimer();
    }

    /// Whether the request can be answered before this node has shut down, or may be tried and repeated.
    [[nodiscard]] bool canFinish(time_point now) const
    {
        return !m_relay.m_lastStart || m_deadline <= m_relay.m_end || (m_route.isRepeatable() && now < *m_relay.m_lastStart);
    }

    void startTimer()
    {
        m_timer.expires_after(std::max(duration(0), m_deadline - currentTime()));
        m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self) {
                self->stop(stop_cause::Deadline);
            }
        });
    }

    void stop(stop_cause cause)
    {
        if (m_stopCause == stop_cause::None) {
            m_stopCause = cause;
            m_stop.stop();
        }
    }

    /// Whether the limit of the request's organisation admits it, counted once for all its attempts; if not, ends the request.
    task<bool> isWithinLimit()
    {
        if (m_relay.m_ports.limits == nullptr || m_request.organisation.empty()) {
            co_return true;
        }
        const limit_decision decision = co_await m_relay.m_ports.limits->admit(m_request.organisation, m_request.id);
        if (m_stopCause != stop_cause::None) {
            co_await endStopped();
            co_return false;
        }
        if (decision.verdict != limit_verdict::Admitted) {
            co_await endWithoutAttempt(end_reason::RateLimited, decision.retryAfter);
            co_return false;
        }
        co_return true;
    }

    /// Makes one attempt, including the wait for a slot. Returns whether the request has ended.
    task<bool> tryOnce()
    {
        if (isOfUnreadVersion()) {
            co_await endWithoutAttempt(end_reason::VersionUnread, duration(0)); // Another node may have read its upstreams.
            co_return true;
        }
        m_slotId = runId(m_request.id.text(), m_serial, ++m_attempts);
        const time_point askedAt = currentTime();
        const slot_broker::slot_outcome outcome = co_await m_relay.m_ports.slots.acquire(slotRequest(), m_stop, nullptr);
        m_slotWaitTime += currentTime() - askedAt;
        if (std::holds_alternative<std::monostate>(outcome)) {
            co_await endStopped();
            co_return true;
        }
        if (const auto *const rejection = std::get_if<slot_rejected>(&outcome)) {
            if (rejection->reason == end_reason::VersionUnknown && co_await lookUpOrigin()) {
                co_return false;
            }
            co_await endRejected(*rejection);
            co_return true;
        }
        const slot_granted granted = std::get<slot_granted>(outcome);
        const upstream_id &upstream = granted.upstream;
        m_schedulingNode = granted.schedulingNode;
        const replica *const registered = m_relay.m_ports.slots.scheduler().find(upstream);
        if (const auto until = quarantinedUntil()) {
            m_relay.m_ports.slots.released(m_slotId, {.outcome = attempt_outcome::Cancelled});
            co_await rejectQuarantined(*until);
            co_return true;
        }
        if (!hasValidKey(currentTime())) {
            m_relay.m_ports.slots.released(m_slotId, {.outcome = attempt_outcome::Cancelled});
            m_relay.m_ports.metrics.count("key_invalid_after_wait");
            co_await endWithoutAttempt(end_reason::KeyUnproven, notRunRetryAfter);
            co_return true;
        }
        if (const std::string_view reason = reasonToDecline(registered, granted); !reason.empty()) {
            // The scheduling node's list of upstreams may be older or newer than this node's.
            m_relay.m_ports.slots.released(m_slotId, {.outcome = attempt_outcome::Cancelled});
            m_tried.push_back(upstream);
            if (m_stream.continues() && m_stream.version().empty()) {
                m_stream.bind(granted.version);
            }
            logEvent(log_level::Info,
                     "grant_declined",
                     {{"request_id", m_request.id.text()},
                      {"upstream", upstream.text()},
                      {"placer", m_schedulingNode.text()},
                      {"reason", std::string(reason)}});
            co_return false;
        }
        if (m_stream.continues() && m_stream.version().empty()) {
            if (granted.version.empty()) {
                m_relay.m_ports.slots.released(m_slotId, {.outcome = attempt_outcome::Cancelled});
                co_await endWithoutAttempt(end_reason::VersionUnknown, duration(0));
                co_return true;
            }
            m_stream.bind(granted.version);
        }
        const replica sentTo = *registered; // Copied because the list may change during the attempt.
        attempt_report report = co_await send(sentTo);
        co_return co_await attemptEnded(sentTo, std::move(report));
    }

    /// Whether the request may still run under its key, which may have been taken away while it waited.
    [[nodiscard]] bool hasValidKey(time_point now) const
    {
        return !m_request.key || !m_relay.m_ports.maySend || m_relay.m_ports.maySend(*m_request.key, m_request.organisation, now);
    }

    /// Whether the stream can go on only at a version of which this node's own list has no upstream that accepts work. The slots
    /// that a node in step would grant at such upstreams would all be declined here.
    [[nodiscard]] bool isOfUnreadVersion() const
    {
        if (!m_stream.continues() || m_stream.version().empty()) {
            return false;
        }
        const std::vector<const replica *> &upstreams = m_relay.m_ports.slots.scheduler().upstreamsOf(m_service);
        return std::none_of(upstreams.begin(), upstreams.end(), [&](const replica *upstream) {
            return !upstream->draining && upstream->hasVersion(m_stream.version());
        });
    }

    /// Why a granted slot must not be used, by this node's own list; empty if it may.
    [[nodiscard]] std::string_view reasonToDecline(const replica *registered, const slot_granted &granted) const
    {
        if (registered == nullptr) {
            return "not_registered";
        }
        if (registered->draining) {
            return "draining";
        }
        // The upstream may have started again with another version, under the same id.
        const bool isOther = m_stream.key() != 0 && !registered->hasVersion(granted.version);
        return isOther || (m_stream.continues() && !registered->hasVersion(m_stream.version())) ? "version" : "";
    }

    /// Binds a stream that the client takes up to what began it. Returns whether it may go on there by the route.
    [[nodiscard]] bool bindTo(const std::optional<stream_origin> &origin)
    {
        const bool isAllowed =
            origin && std::any_of(m_route.services.begin(), m_route.services.end(), [&](const weighted_service &service) {
                return service.service == origin->service;
            });
        if (isAllowed) {
            m_service = origin->service;
            m_stream.bind(origin->version);
        }
        return isAllowed;
    }

    /// Looks up, once, what began the stream that the client takes up. Returns whether the request can go on.
    task<bool> lookUpOrigin()
    {
        if (m_relay.m_ports.versions == nullptr || std::exchange(m_lookedUp, true)) {
            co_return false;
        }
        const std::optional<stream_origin> origin = co_await m_relay.m_ports.versions->lookUp(m_stream.key(), m_service);
        if (m_stopCause != stop_cause::None) {
            co_return false;
        }
        co_return bindTo(origin);
    }

    /// Until when the request's content or a part of its prompt is quarantined.
    [[nodiscard]] std::optional<time_point> quarantinedUntil() const
    {
        const time_point now = currentTime();
        const auto content = m_relay.m_crashes.quarantinedUntil(m_fingerprint, now);
        return std::max(content, m_relay.m_ports.parts.stoppedUntil(m_promptRun, now));
    }

    /// Ends a request whose content or a part of whose prompt is quarantined.
    task<> rejectQuarantined(time_point until)
    {
        logContentRejected(until);
        co_await endWithoutAttempt(end_reason::CrashesUpstreams, until - currentTime());
    }

    [[nodiscard]] slot_request slotRequest() const
    {
        return {.id = m_slotId,
                .service = m_service,
                .workClass = work_class::Online,
                .priority = m_request.priority.value_or(m_route.priority),
                .arrivedAt = m_request.arrivedAt,
                .target = m_request.arrivedAt + m_route.target,
                .deadline = m_deadline,
                .repeatable = m_route.isRepeatable(),
                .sentBefore = m_retries.attempts() > 0,
                .prefixHash = m_request.prefixHash,
                .stream = m_stream.key(),
                .continues = m_stream.continues(),
                .version = m_stream.continues() ? m_stream.version() : std::string(),
                .excluded = m_tried,
                .caller = m_request.caller,
                .size = m_request.size};
    }

    task<attempt_report> send(const replica &upstream)
    {
        const time_point now = currentTime();
        upstream_run run{.id = m_request.id,
                         .upstream = upstream.id,
                         .startedAt = upstream.startedAt,
                         .address = upstream.address,
                         .method = m_request.method,
                         .target = m_request.target,
                         .host = m_request.host,
                         .organisation = m_request.organisation,
                         .fields = m_request.fields,
                         .body = m_request.body,
                         .resumeAfter = m_stream.lastEvent(),
                         .timeLeft = std::max(duration(0), m_deadline - now),
                         .mayRepeat = m_retries.mayFollow(),
                         .onNewConnection = m_relay.m_crashes.isSuspect(m_fingerprint, now)};
        const http_client::stream_timeouts timeouts{
            .firstByte =
                m_retries.firstByteTimeout(m_relay.m_ports.slots.scheduler().scheduler().overdueAfter(m_service, upstream.id), now),
            .silence = m_retries.nextByteTimeout(now)};
        m_stream.beginRun(upstream.softwareVersion);
        attempt_observer observer;
        observer.onRoomAwaited = [this] {
            m_relay.m_ports.slots.firstByte(m_slotId);
        };
        if (m_route.kind == request_kind::Stream) {
            observer.onHead = [this](const answer_head &head) -> task<> {
                co_await beginStream(head);
            };
            observer.onBody = [this](std::string_view piece) -> task<> {
                co_await forwardToClient(piece);
            };
        }
        m_upstreams += (m_upstreams.empty() ? "" : ">") + upstream.id.text();
        m_versions += (m_versions.empty() ? "" : ">") + upstream.softwareVersion;
        return m_relay.m_ports.sender.send(std::move(run), timeouts, std::move(observer), m_stop);
    }

    task<> beginStream(const answer_head &head)
    {
        if (m_stream.addHead(head)) {
            m_status = head.status;
            co_await writeToClient(m_exchange.begin(head.status, head.fields, head.framing));
        }
    }

    /// Writes to the client. A failure means that the client has disconnected, and ends the attempt.
    task<> writeToClient(task<> writing)
    {
        try {
            co_await std::move(writing);
        } catch (const boost::system::system_error &) {
            stop(stop_cause::ClientGone);
            throw;
        }
    }

    /// Forwards bytes of the current run.
    task<> forwardToClient(std::string_view piece)
    {
        recordFirstByte();
        const bool hasBegun = m_stream.continues();
        const std::string bytes = m_stream.add(piece);
        if (m_stream.pieces() == piecesOfBegunAnswer) {
            m_relay.m_ports.parts.recordProof(m_promptRun, currentTime());
        }
        if (!hasBegun && m_stream.continues() && m_stream.key() != 0 && m_relay.m_ports.versions != nullptr) {
            const stream_origin origin{.service = m_service, .version = m_stream.version()};
            m_relay.m_ports.versions->recordOrigin(m_stream.key(), origin);
            m_relay.m_ports.slots.streamBegun(m_slotId, m_stream.key(), origin);
        }
        if (!bytes.empty()) {
            co_await writeToClient(m_exchange.write(bytes));
        }
    }

    void recordFirstByte()
    {
        m_relay.m_ports.slots.firstByte(m_slotId);
        if (!m_firstByteAt) {
            m_firstByteAt = currentTime();
            m_relay.m_ports.metrics.firstByte(m_service.text(), work_class::Online, *m_firstByteAt - m_request.arrivedAt);
        }
    }

    /// Decides whether to retry after an attempt or to end the request. Returns whether the request has ended.
    task<bool> attemptEnded(const replica &sentTo, attempt_report report)
    {
        const upstream_id &upstream = sentTo.id;
        const time_point now = currentTime();
        if (report.error.empty()) {
            report.error = m_stream.doubtAboutEnd(*report.head);
            report.result.outcome = report.error.empty() ? report.result.outcome : attempt_outcome::Lost;
        }
        if (report.head && m_route.kind != request_kind::Stream) {
            m_relay.m_ports.slots.firstByte(m_slotId);
        }
        release(upstream, report);
        if (!report.forwarder.text().empty()) {
            m_forwarders += (m_forwarders.empty() ? "" : ">") + report.forwarder.text();
        }
        if (report.head) {
            m_framing = report.head->framing;
        }
        const attempt_outcome outcome = report.result.outcome;
        const bool isRejection = outcome == attempt_outcome::Answered;
        if (outcome == attempt_outcome::Succeeded || isRejection) {
            m_relay.m_crashes.recordAnswer(m_fingerprint, now);
        }
        if (outcome == attempt_outcome::Succeeded) { // A failure or rejection may come before the upstream has begun.
            m_relay.m_ports.parts.recordProof(m_promptRun, now);
        }
        if (outcome == attempt_outcome::Succeeded || (isRejection && !m_stream.headSent())) {
            co_await answer(report);
            co_return true;
        }
        if (report.isOfPath) {
            m_relay.m_ports.metrics.count("attempt_lost_on_path");
            if (outcome != attempt_outcome::NotSent) { // Its upstream may have crashed as well.
                recordAbandonedAttempt(report, keyOfStart(sentTo), now);
            }
        } else if (outcome == attempt_outcome::Lost) {
            m_relay.recordLostAttempt(m_fingerprint, keyOfStart(sentTo), now);
            if (m_stream.pieces() < piecesOfBegunAnswer) {
                m_relay.m_ports.parts.recordLoss(m_promptRun, keyOfStart(sentTo), now);
            }
        } else if (outcome == attempt_outcome::TimedOut || outcome == attempt_outcome::Cancelled) {
            recordAbandonedAttempt(report, keyOfStart(sentTo), now);
        }
        const next_step step = m_retries.recordAttemptEnd(outcome, now);
        logAttempt(upstream, report, step);
        if (m_stopCause != stop_cause::None) {
            co_await endStopped();
            co_return true;
        }
        if (step == next_step::TryAgain && m_stream.canContinue() && !isRejection) {
            m_tried.push_back(upstream);
            co_return false;
        }
        co_await endAfterAttempt(report, step);
        co_return true;
    }

    /// Records an attempt that was given up, in case its upstream turns out to have ended.
    void recordAbandonedAttempt(const attempt_report &report, upstream_key upstream, time_point now)
    {
        if (!report.head) {
            m_relay.recordUnansweredAttempt(m_fingerprint, upstream, now);
        }
        if (m_stream.pieces() < piecesOfBegunAnswer) {
            m_relay.m_ports.parts.recordUnanswered(m_promptRun, upstream, now);
        }
    }

    /// Frees the slot. A loss on the way, or on a connection that the upstream may have closed while idle, does not count against it.
    void release(const upstream_id &upstream, const attempt_report &report)
    {
        m_relay.m_ports.metrics.attemptEnded(toString(report.result.outcome), false);
        m_relay.m_ports.slots.released(m_slotId, resultForScheduler(report));
        if (report.head && report.head->kind == answer_kind::WrongUpstream) {
            m_relay.m_ports.slots.scheduler().addressReused(upstream);
        }
    }

    /// Forwards a complete answer, or finishes a stream.
    task<> answer(attempt_report &report)
    {
        if (!m_relay.m_firstAnswerAt) {
            m_relay.m_firstAnswerAt = currentTime();
        }
        m_timer.cancel();
        const final_result result{.what = disposition::Completed};
        if (m_stream.headSent()) {
            co_await m_exchange.finish();
        } else {
            recordFirstByte();
            m_status = report.head->status;
            http_response response{.status = report.head->status,
                                   .fields = report.head->fields,
                                   .body = std::move(report.body),
                                   .framing = report.head->framing};
            report.held.release(); // The server counts what it writes.
            co_await m_exchange.respond(std::move(response));
        }
        recordEnd(result);
    }

    task<> endAfterAttempt(attempt_report &report, next_step step)
    {
        const bool isUpstreamFailure =
            report.head && report.head->kind == answer_kind::Failure && report.error.empty() && !m_stream.headSent();
        if (isUpstreamFailure) {
            co_await answer(report);
            co_return;
        }
        if (step == next_step::NotRun) {
            co_await end(disposition::NotRun, end_reason::RetriesExhausted, notRunRetryAfter);
            co_return;
        }
        co_await end(m_route.isRepeatable() ? disposition::Failed : disposition::OutcomeUnknown, end_reason::AnswerLost);
    }

    task<> endRejected(const slot_rejected &rejection)
    {
        co_await endWithoutAttempt(rejection.reason, rejection.retryAfter);
    }

    /// Ends a request without another attempt; reported as not run only if no earlier attempt may have run.
    task<> endWithoutAttempt(end_reason reason, duration retryAfter)
    {
        if (m_retries.mayHaveRun()) {
            co_await end(m_route.isRepeatable() ? disposition::Failed : disposition::OutcomeUnknown, reason);
            co_return;
        }
        co_await end(disposition::NotRun, reason, retryAfter);
    }

    /// Ends a request whose client has disconnected or whose deadline has passed.
    task<> endStopped()
    {
        if (m_stopCause == stop_cause::ClientGone) {
            recordEnd({.what = disposition::Cancelled, .reason = end_reason::CancelledByCaller});
            co_return;
        }
        const disposition what = m_retries.mayHaveRun() ? disposition::OutcomeUnknown : disposition::NotRun;
        co_await end(what, end_reason::DeadlineUnreachable, notRunRetryAfter);
    }

    /// Ends a request without an answer from an upstream: with a generated answer, or, if the head has been sent, by leaving
    /// the stream unfinished, so that its connection is closed.
    task<> end(disposition what, end_reason reason, std::optional<duration> retryAfter = std::nullopt)
    {
        const final_result result{.what = what, .reason = reason, .retryAfter = retryAfter};
        m_timer.cancel();
        if (m_stream.headSent()) {
            recordEnd(result);
            co_return;
        }
        http_response response = m_relay.m_protocol.encodeEnd(result);
        m_status = response.status;
        co_await m_exchange.respond(std::move(response));
        recordEnd(result);
    }

    void recordEnd(const final_result &result)
    {
        const duration taken = currentTime() - m_request.arrivedAt;
        const duration firstByte = m_firstByteAt ? *m_firstByteAt - m_request.arrivedAt : duration(0);
        m_relay.m_ports.metrics.requestEnded(m_service.text(), work_class::Online, result, taken);
        logEvent(log_level::Info,
                 "request_ended",
                 {{"request_id", m_request.id.text()},
                  {"route", m_route.name},
                  {"configuration_version", std::to_string(m_version)},
                  {"service", m_service.text()},
                  {"upstreams", m_upstreams},
                  {"versions", m_versions},
                  {"forwarders", m_forwarders},
                  {"resumes", m_request.resumes ? m_request.resumes->text() : ""},
                  {"placer", m_schedulingNode.text()},
                  {"waited_us", std::to_string(m_slotWaitTime.count())},
                  {"disposition", std::string(toString(result.what))},
                  {"reason", std::string(toString(result.reason))},
                  {"status", std::to_string(m_status)},
                  {"framing", std::string(m_framing ? toString(*m_framing) : "none")},
                  {"target_us", std::to_string(m_route.target.count())},
                  {"first_byte_us", std::to_string(firstByte.count())},
                  {"taken_us", std::to_string(taken.count())}});
    }

    void logContentRejected(time_point until) const
    {
        std::string parts;
        for (const std::uint64_t part : m_promptRun.parts) {
            parts.append(parts.empty() ? "" : ",").append(std::to_string(part));
        }
        m_relay.m_ports.metrics.count("content_refused");
        logEvent(log_level::Info,
                 "content_refused",
                 {{"request_id", m_request.id.text()},
                  {"fingerprint", std::to_string(m_fingerprint)},
                  {"parts", parts},
                  {"upstreams_lost", std::to_string(m_relay.m_crashes.lossCount(m_fingerprint))},
                  {"for_us", std::to_string((until - currentTime()).count())}});
    }

    void logAttempt(const upstream_id &upstream, const attempt_report &report, next_step step) const
    {
        logEvent(log_level::Info,
                 "attempt_failed",
                 {{"request_id", m_request.id.text()},
                  {"upstream", upstream.text()},
                  {"fingerprint", std::to_string(m_fingerprint)},
                  {"outcome", std::string(toString(report.result.outcome))},
                  {"idle_connection", report.staleConnection ? "true" : "false"},
                  {"forwarder", report.forwarder.text()},
                  {"of_path", report.isOfPath ? "true" : "false"},
                  {"status", std::to_string(report.head ? report.head->status : 0)},
                  {"framing", std::string(report.head ? toString(report.head->framing) : "none")},
                  {"error", report.error},
                  {"next", step == next_step::TryAgain ? "try_again" : "end"}});
    }

    static constexpr duration notRunRetryAfter = std::chrono::milliseconds(200); ///< Other upstreams may have free slots by then.

    implementation &m_relay;
    http_exchange &m_exchange;
    client_request m_request;
    const route &m_route;
    std::uint64_t m_version;
    service_name m_service;
    time_point m_deadline;
    retry_policy m_retries;
    relayed_stream m_stream;
    bool m_lookedUp = false; ///< Whether the store was asked what began the stream.
    std::uint64_t m_fingerprint;
    prompt_run m_promptRun;
    asio::steady_timer m_timer;
    std::uint64_t m_serial = 0; ///< Sequence number of the request at this node; makes its slot ids unique.
    std::uint32_t m_attempts = 0;
    request_id m_slotId; ///< Slot id of the current attempt. Never reused: the release may arrive after the next attempt's claim.
    stop_signal m_stop;
    stop_cause m_stopCause = stop_cause::None;
    std::vector<upstream_id> m_tried;
    std::string m_upstreams; ///< Upstreams in the order of the attempts, for the log.
    std::string m_versions; ///< Their software versions.
    std::string m_forwarders; ///< Other nodes through which attempts went, in their order, for the log.
    node_id m_schedulingNode; ///< Node that granted the last slot; empty for this node.
    duration m_slotWaitTime{}; ///< Total time spent waiting for slots.
    std::optional<time_point> m_firstByteAt;
    unsigned m_status = 0;
    std::optional<answer_framing> m_framing; ///< Of the last answer, for the log.
};

request_relay::request_relay(const request_relay_ports &ports, upstream_protocol protocol)
    : m_implementation(std::make_unique<implementation>(ports, std::move(protocol)))
{
}

request_relay::~request_relay() = default;

task<>
request_relay::serve(http_exchange &exchange, client_request request, std::shared_ptr<const route_table> table, const route &matchedRoute)
{
    const std::uint64_t version = table->configuration().version;
    const auto relayed =
        std::make_shared<implementation::relayed_request>(*m_implementation, exchange, std::move(request), matchedRoute, version);
    co_await relayed->run();
}

std::size_t request_relay::inProgress() const
{
    return m_implementation->m_active.size();
}

std::optional<time_point> request_relay::firstAnswerAt() const
{
    return m_implementation->m_firstAnswerAt;
}

void request_relay::beginShutdown(time_point lastStart, time_point end)
{
    m_implementation->m_lastStart = lastStart;
    m_implementation->m_end = end;
    for (implementation::relayed_request *const request : m_implementation->m_active) {
        request->endBy(end);
    }
}

std::uint64_t request_relay::fingerprint(std::string_view target, std::string_view body)
{
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(target.data(), target.size()));
}

std::vector<lost_content> request_relay::recentlyLost(time_point now) const
{
    std::vector<lost_content> result;
    for (const recorded_loss &loss : m_implementation->m_recentLosses) {
        if (now - loss.at <= lossReportPeriod) {
            result.push_back(loss.content);
        }
    }
    return result;
}

void request_relay::recordRemoteLoss(const lost_content &lost, const node_id &seenBy, time_point now)
{
    (void)m_implementation->countLoss(lost, seenBy.text(), now);
}

void request_relay::upstreamEnded(upstream_key incarnation, time_point now)
{
    m_implementation->upstreamEnded(incarnation, now);
}

void request_relay::upstreamAlive(upstream_key incarnation, time_point aliveAt)
{
    m_implementation->upstreamAlive(incarnation, aliveAt);
}

std::vector<quarantined_fingerprint> request_relay::quarantinedContents(time_point now) const
{
    return m_implementation->m_crashes.quarantined(now);
}

const std::set<std::uint64_t> &request_relay::locallyQuarantined() const
{
    return m_implementation->m_locallyQuarantined;
}

void request_relay::quarantineContent(std::uint64_t fingerprint, time_point now)
{
    m_implementation->m_crashes.quarantine(fingerprint, now + contentQuarantineDuration, now);
}

void request_relay::withdrawQuarantine(std::uint64_t fingerprint)
{
    m_implementation->m_crashes.withdraw(fingerprint);
}

} // namespace banyan
