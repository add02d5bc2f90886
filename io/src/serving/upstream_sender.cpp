#include "banyan/io/serving/upstream_sender.h"

#include "banyan/io/client_memory.h"
#include "banyan/io/http_error.h"
#include "banyan/io/serving/stop_signal.h"

#include <algorithm>
#include <charconv>
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

} // namespace

upstream_sender::upstream_sender(http_client &client, upstream_protocol protocol)
    : m_client(client)
    , m_protocol(std::move(protocol))
{
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

task<attempt_report>
upstream_sender::send(upstream_run run, http_client::stream_timeouts timeouts, attempt_observer observer, stop_signal &stop)
{
    attempt_report report;
    if (m_memory != nullptr) {
        report.held = m_memory->share(memory_holder::Answers);
    }
    std::size_t announced = 0;
    const auto cancellation = std::make_shared<http_cancellation>();
    stop.onStop([cancellation] {
        cancellation->cancel();
    });
    http_client::stream_handler handler;
    handler.onHead = [&](const http_response_head &head) -> task<> {
        report.head = m_protocol.decodeHead(head, run);
        announced = announcedLength(head);
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
        if (report.head->kind == answer_kind::Success && observer.onBody) {
            co_await observer.onBody(piece);
            co_return;
        }
        co_await collect(report, piece, announced, observer, stop);
    };
    handler.idOf = m_protocol.answeredId;
    const endpoint address = run.address;
    const http_client::stream_options options{.timeouts = timeouts,
                                              .cancellation = cancellation,
                                              .choice = run.onNewConnection ? connection_choice::New : connection_choice::IdleOrNew,
                                              .id = run.id.text()};
    http_request request = m_protocol.encodeRun(run);
    run.body = std::string(); // The request has it.
    try {
        co_await m_client.stream(address, std::move(request), std::move(handler), options);
        report.result.outcome = outcomeOf(*report.head);
    } catch (const http_error &error) {
        report.result.outcome = outcomeOf(error, stop.stopped());
        report.staleConnection = error.staleConnection();
        report.error = error.what();
    } catch (const std::exception &error) {
        // Forwarding to the client failed, not the upstream.
        report.result.outcome = attempt_outcome::Cancelled;
        report.error = error.what();
    }
    stop.onStop(nullptr);
    co_return report;
}

} // namespace banyan
