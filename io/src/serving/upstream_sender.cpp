#include "banyan/io/serving/upstream_sender.h"

#include "banyan/core/serving/forwarder.h"
#include "banyan/core/serving/request_scheduler.h"
#include "banyan/io/client_memory.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_error.h"
#include "banyan/io/serving/stop_signal.h"
#include "banyan/io/serving/upstream_paths.h"
#include "forward_protocol.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

namespace banyan {

namespace {

constexpr std::size_t maximumCollectedBytes = std::size_t(8) << 20; // Limit for an answer that is collected before it is forwarded.

constexpr duration roomPatience = std::chrono::seconds(30); // For room for an answer, if nothing stops the attempt before.

/// The length that an answer's head announces; 0 if none.
std::size_t announcedLength(const http_response_head &head)
{
    std::size_t length = 0;
    if (head.framing == answer_framing::Length) {
        const std::string text = head.field("Content-Length");
        std::from_chars(text.data(), text.data() + text.size(), length);
    }
    return length;
}

attempt_outcome outcomeOf(const answer_head &head)
{
    switch (head.kind) {
    case answer_kind::Success:
        return attempt_outcome::Succeeded;
    case answer_kind::Rejection:
        return attempt_outcome::Answered;
    case answer_kind::NotRun:
    case answer_kind::WrongUpstream:
        return attempt_outcome::Refused;
    case answer_kind::Failure:
    case answer_kind::Unusable:
        return attempt_outcome::Failed;
    }
    return attempt_outcome::Failed;
}

attempt_outcome outcomeOf(const http_error &error, bool stopped)
{
    if (error.sent() == sent_state::NotSent) {
        return attempt_outcome::NotSent;
    }
    if (stopped) {
        return attempt_outcome::Cancelled;
    }
    return error.timedOut() ? attempt_outcome::TimedOut : attempt_outcome::Lost;
}

/// An answer of a node that forwards which is not the upstream's.
class forward_error : public std::runtime_error
{
public:
    explicit forward_error(std::optional<forward_outcome> told)
        : std::runtime_error(told ? "forwarder: " + std::string(toString(*told)) : "not an answer of a forwarder")
        , m_told(told)
    {
    }

    [[nodiscard]] attempt_outcome outcome() const
    {
        if (m_told && provesUnsent(*m_told)) {
            return attempt_outcome::NotSent;
        }
        return m_told == forward_outcome::TimedOut ? attempt_outcome::TimedOut : attempt_outcome::Lost;
    }

    [[nodiscard]] bool notReached() const
    {
        return m_told == forward_outcome::NotReached;
    }

    /// Whether it says something about the forwarder and not about the upstream.
    [[nodiscard]] bool isOfForwarder() const
    {
        return !m_told || m_told == forward_outcome::Unable || m_told == forward_outcome::PathLost;
    }

    [[nodiscard]] bool stale() const
    {
        return m_told == forward_outcome::Stale;
    }

private:
    std::optional<forward_outcome> m_told;
};

/// The upstream's head in the answer of a node that forwards. @throws forward_error if it is not the upstream's
http_response_head headThrough(const http_response_head &received)
{
    const std::optional<forward_outcome> told = outcomeIn(received);
    if (told != forward_outcome::Answered) {
        throw forward_error(told);
    }
    return upstreamHead(received);
}

constexpr std::size_t mostForwarders = 3; // That are asked for one attempt.
constexpr std::size_t forwardersToBelieve = 2; // That do not reach an upstream either: one may be cut off as this node is.

} // namespace

/// The way of an attempt, and who is told of its steps.
struct attempt_route
{
    http_client &client;
    endpoint address;
    std::optional<forward_order> order = std::nullopt; ///< For the node at the address, unless that is the upstream.
    std::shared_ptr<http_cancellation> cancellation;
    std::function<void(bool isNew)> onConnected = {};
    std::function<void()> onHeard = {}; ///< For each byte of the answer.
    std::function<void(const http_error &error)> onFailed = {};
};

attempt_result resultForScheduler(const attempt_report &report)
{
    attempt_result result = report.result;
    if (report.staleConnection || report.isOfPath) {
        result.outcome = attempt_outcome::Cancelled;
    }
    return result;
}

upstream_sender::upstream_sender(http_client &client, upstream_protocol protocol)
    : m_client(client)
    , m_protocol(std::move(protocol))
{
}

void upstream_sender::usePaths(upstream_paths &paths, http_client &peerClient, node_id self)
{
    m_paths = &paths;
    m_peerClient = &peerClient;
    m_self = std::move(self);
}

void upstream_sender::onUpstreamLeaves(std::function<void(const upstream_run &run, unsigned status)> handler)
{
    m_upstreamLeaves = std::move(handler);
}

void upstream_sender::onRateStatement(std::function<void(const upstream_run &run, const answer_head &head)> handler)
{
    m_rateStatement = std::move(handler);
}

request_size upstream_sender::statedSize(const std::vector<http_field> &fields) const
{
    return m_protocol.statedSize ? m_protocol.statedSize(fields) : request_size();
}

std::vector<std::uint64_t> upstream_sender::sharedParts(const std::vector<http_field> &fields) const
{
    return m_protocol.sharedParts ? m_protocol.sharedParts(fields) : std::vector<std::uint64_t>();
}

void upstream_sender::limitMemory(client_memory &memory)
{
    m_memory = &memory;
}

task<> upstream_sender::makeRoom(attempt_report &report, std::size_t bytes, const attempt_observer &observer, stop_signal &stop)
{
    if (report.held.resize(bytes)) {
        co_return;
    }
    if (observer.onRoomAwaited) {
        observer.onRoomAwaited();
    }
    std::function<bool()> stopped = [&stop] {
        return stop.stopped();
    };
    const bool hasRoom = co_await m_memory->resize(report.held, bytes, roomPatience, std::move(stopped));
    if (!hasRoom) {
        throw std::runtime_error("expected memory for the answer, found none");
    }
}

/// Adds a piece to the body. While there is no room for it nothing more is read, which slows the upstream down.
task<> upstream_sender::collect(attempt_report &report,
                                std::string_view piece,
                                std::size_t announced,
                                const attempt_observer &observer,
                                stop_signal &stop)
{
    const std::size_t needed = report.body.size() + piece.size();
    if (needed > maximumCollectedBytes) {
        throw http_error(sent_state::MaybeSent, false, "answer is larger than may be collected");
    }
    if (needed > report.body.capacity()) {
        const std::size_t next = std::min(std::max({needed, 2 * report.body.capacity(), announced}), maximumCollectedBytes);
        co_await makeRoom(report, report.body.capacity() + next, observer, stop); // Both exist while the bytes are moved.
        report.body.reserve(next);
        report.held.charge(report.body.capacity());
    }
    report.body += piece;
}

/// Sends one attempt by a route, and waits for its end.
task<attempt_report> upstream_sender::exchange(attempt_route by,
                                               upstream_run run,
                                               http_client::stream_timeouts timeouts,
                                               attempt_observer observer,
                                               stop_signal &stop)
{
    attempt_report report;
    if (m_memory != nullptr) {
        report.held = m_memory->share(memory_holder::Answers);
    }
    std::size_t announced = 0;
    http_client::stream_handler handler;
    handler.onHead = [&](const http_response_head &received) -> task<> {
        const http_response_head head = by.order ? headThrough(received) : received;
        report.head = m_protocol.decodeHead(head, run);
        announced = announcedLength(head);
        if (by.onHeard) {
            by.onHeard();
        }
        if (report.head->upstreamLeaves && m_upstreamLeaves) {
            m_upstreamLeaves(run, head.status);
        }
        if (m_rateStatement) {
            m_rateStatement(run, *report.head);
        }
        if (report.head->kind == answer_kind::Unusable) {
            throw http_error(sent_state::MaybeSent, false, "not an answer to this request, status " + std::to_string(head.status));
        }
        if (report.head->kind == answer_kind::Success && observer.onHead) {
            co_await observer.onHead(*report.head);
        }
    };
    handler.onPiece = [&](std::string_view piece) -> task<> {
        if (by.onHeard) {
            by.onHeard();
        }
        if (report.head->kind == answer_kind::Success && observer.onBody) {
            co_await observer.onBody(piece);
            co_return;
        }
        co_await collect(report, piece, announced, observer, stop);
    };
    handler.onConnected = by.onConnected;
    handler.idOf = m_protocol.answeredId;
    const http_client::stream_options options{.timeouts = timeouts,
                                              .cancellation = by.cancellation,
                                              .choice = run.onNewConnection ? connection_choice::New : connection_choice::IdleOrNew,
                                              .id = run.id.text()};
    http_request request = m_protocol.encodeRun(run);
    run.body = std::string(); // The request has it.
    if (by.order) {
        addOrder(request, *by.order);
    }
    try {
        co_await by.client.stream(by.address, std::move(request), std::move(handler), options);
        report.result.outcome = outcomeOf(*report.head);
    } catch (const forward_error &error) {
        report.result.outcome = error.outcome();
        report.staleConnection = error.stale();
        report.wasNotReached = error.notReached();
        report.isOfPath = error.isOfForwarder();
        report.isOfForwarder = error.isOfForwarder();
        report.error = error.what();
    } catch (const http_error &error) {
        report.result.outcome = outcomeOf(error, stop.stopped());
        report.staleConnection = error.staleConnection();
        report.error = error.what();
        // Which of the two connections has failed is not known. The content is judged when its upstream turns out to have ended.
        report.isOfPath = by.order.has_value() && !stop.stopped();
        report.isOfForwarder = report.isOfPath && !report.head;
        if (by.onFailed) {
            by.onFailed(error);
        }
    } catch (const std::exception &error) {
        // Forwarding to the client failed, not the upstream.
        report.result.outcome = attempt_outcome::Cancelled;
        report.error = error.what();
    }
    co_return report;
}

task<attempt_report> upstream_sender::sendDirectly(std::shared_ptr<upstream_run> kept,
                                                   http_client::stream_timeouts timeouts,
                                                   attempt_observer observer,
                                                   stop_signal &stop)
{
    upstream_run run = *kept;
    const auto cancellation = std::make_shared<http_cancellation>();
    stop.onStop([cancellation] {
        cancellation->cancel();
    });
    attempt_route by{.client = m_client, .address = run.address, .cancellation = cancellation};
    const auto isSent = std::make_shared<bool>(false);
    const upstream_id upstream = run.upstream;
    std::optional<upstream_paths::watched_run> watch;
    if (m_paths != nullptr) {
        auto hangs = [cancellation, isSent, mayRepeat = run.mayRepeat] {
            if (mayRepeat || !*isSent) {
                cancellation->cancel();
            }
        };
        watch.emplace(*m_paths, upstream, std::move(hangs));
        by.onConnected = [&watch, isSent, kept](bool isNew) {
            *isSent = true;
            kept->body = std::string(); // From now on no other node will be asked.
            watch->connected(isNew);
        };
        by.onHeard = [&watch] {
            watch->heard();
        };
        by.onFailed = [&watch, cancellation](const http_error &error) {
            if (!cancellation->cancelled()) { // Else it says nothing about the path.
                watch->failed(error);
            }
        };
    }
    attempt_report report = co_await exchange(std::move(by), std::move(run), timeouts, std::move(observer), stop);
    stop.onStop(nullptr);
    const attempt_outcome outcome = report.result.outcome;
    const bool isFailure = outcome == attempt_outcome::NotSent || outcome == attempt_outcome::TimedOut || outcome == attempt_outcome::Lost;
    report.isOfPath = isFailure && m_paths != nullptr && m_paths->isDoubtful(upstream);
    co_return report;
}

task<attempt_report> upstream_sender::sendThrough(forwarder through,
                                                  upstream_run run,
                                                  http_client::stream_timeouts timeouts,
                                                  attempt_observer observer,
                                                  stop_signal &stop)
{
    const auto cancellation = std::make_shared<http_cancellation>();
    stop.onStop([cancellation] {
        cancellation->cancel();
    });
    attempt_route by{.client = *m_peerClient,
                     .address = through.address,
                     .order = forward_order{.run = run.id.text(),
                                            .upstream = run.upstream,
                                            .startedAt = run.startedAt,
                                            .sender = m_self,
                                            .timeouts = timeouts,
                                            .mayRepeat = run.mayRepeat,
                                            .onNewConnection = run.onNewConnection},
                     .cancellation = cancellation};
    run.onNewConnection = false; // That is meant for the connection to the upstream.
    m_paths->forwarders().begun(through.node);
    attempt_report report = co_await exchange(std::move(by), std::move(run), timeouts, std::move(observer), stop);
    m_paths->forwarders().ended(through.node);
    stop.onStop(nullptr);
    report.forwarder = through.node;
    co_return report;
}

task<attempt_report>
upstream_sender::send(upstream_run run, http_client::stream_timeouts timeouts, attempt_observer observer, stop_signal &stop)
{
    const time_point begunAt = currentTime();
    const upstream_id upstream = run.upstream;
    const upstream_key key = keyOf(upstream);
    const std::optional<duration> timeLeft = run.timeLeft;
    const auto kept = std::make_shared<upstream_run>(std::move(run));
    const auto updateTimeLeft = [&kept, timeLeft, begunAt] {
        if (timeLeft) {
            kept->timeLeft = std::max(duration(0), *timeLeft - (currentTime() - begunAt));
        }
    };
    attempt_report report;
    const bool isLost = m_paths != nullptr && m_paths->isLost(upstream);
    if (!isLost) {
        report = co_await sendDirectly(kept, timeouts, observer, stop);
        if (m_paths == nullptr || report.result.outcome != attempt_outcome::NotSent || stop.stopped()) {
            co_return report;
        }
    }
    std::vector<node_id> asked;
    std::size_t notReached = 0;
    while (asked.size() < mostForwarders && !m_paths->forwarders().isDown(key, currentTime())) {
        const std::optional<forwarder> through = m_paths->chooseForwarder(upstream, asked);
        if (!through) {
            break;
        }
        asked.push_back(through->node);
        updateTimeLeft();
        report = co_await sendThrough(*through, *kept, timeouts, observer, stop);
        if (report.isOfForwarder) {
            m_paths->forwarders().failed(through->node, currentTime());
        }
        if (report.result.outcome != attempt_outcome::NotSent || stop.stopped()) {
            co_return report;
        }
        notReached += report.wasNotReached ? 1 : 0;
        if (notReached == forwardersToBelieve) {
            break;
        }
    }
    if (notReached == forwardersToBelieve || (notReached > 0 && notReached == asked.size())) { // In the latter case, all that there were.
        m_paths->forwarders().notReached(key, currentTime());
    }
    const bool isDown = m_paths->forwarders().isDown(key, currentTime());
    if (isLost && asked.empty() && !isDown) {
        updateTimeLeft();
        co_return co_await sendDirectly(kept, timeouts, std::move(observer), stop); // Nobody can help.
    }
    report.result.outcome = attempt_outcome::NotSent;
    report.isOfPath = !isDown && !asked.empty(); // Where nobody can be asked, the upstream is to blame as well.
    report.error = report.error.empty() ? "not reached, and by no other node lately" : report.error;
    co_return report;
}

} // namespace banyan
