#include "banyan/io/serving/upstream_sender.h"

#include "banyan/io/http_error.h"
#include "banyan/io/serving/stop_signal.h"

#include <utility>

namespace banyan {

namespace {

constexpr std::size_t maximumCollectedBytes = std::size_t(8) << 20; // Limit for an answer that is collected before it is forwarded.

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

task<attempt_report>
upstream_sender::send(upstream_run run, http_client::stream_timeouts timeouts, attempt_observer observer, stop_signal &stop)
{
    attempt_report report;
    const auto cancellation = std::make_shared<http_cancellation>();
    stop.onStop([cancellation] {
        cancellation->cancel();
    });
    http_client::stream_handler handler;
    handler.onHead = [&](const http_response_head &head) -> task<> {
        report.head = m_protocol.decodeHead(head, run);
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
        if (report.body.size() + piece.size() > maximumCollectedBytes) {
            throw http_error(sent_state::MaybeSent, false, "answer is larger than may be collected");
        }
        report.body += piece;
    };
    const endpoint address = run.address;
    const connection_choice choice = run.onNewConnection ? connection_choice::New : connection_choice::IdleOrNew;
    try {
        co_await m_client.stream(address, m_protocol.encodeRun(run), timeouts, std::move(handler), cancellation, choice);
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
