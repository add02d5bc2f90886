#include "relayed_stream.h"

#include "banyan/core/serving/route.h"
#include "banyan/io/http_error.h"
#include "banyan/io/serving/answer_head.h"
#include "banyan/io/serving/client_request.h"

#include <utility>
#include <vector>

namespace banyan {

namespace {

bool isResumable(const route &matchedRoute)
{
    return matchedRoute.kind == request_kind::Stream && matchedRoute.resumable;
}

} // namespace

relayed_stream::relayed_stream(const client_request &request, const route &matchedRoute)
    : m_isStream(matchedRoute.kind == request_kind::Stream)
    , m_resumable(matchedRoute.resumable)
    , m_key(isResumable(matchedRoute) ? streamKeyOf(request.resumes.value_or(request.id)) : 0)
    , m_position(request.resumeAfter)
{
}

void relayed_stream::beginRun(const std::string &version)
{
    m_runVersion = version;
    m_splitter = event_splitter();
    m_boundary = event_boundary();
    m_pieces = 0;
    m_hasEvent = false;
}

bool relayed_stream::addHead(const answer_head &head)
{
    if (m_headSent && m_isEventStream && !head.isEventStream) {
        throw http_error(sent_state::MaybeSent, false, "the answer does not continue the stream");
    }
    if (std::exchange(m_headSent, true)) {
        return false;
    }
    m_isEventStream = head.isEventStream;
    m_clientFraming = head.framing;
    return true;
}

std::string relayed_stream::add(std::string_view piece)
{
    ++m_pieces;
    if (!m_resumable) {
        m_boundary.add(piece);
        return std::string(piece);
    }
    return addEvents(piece);
}

/// Returns the events that the piece completes and the client does not have.
std::string relayed_stream::addEvents(std::string_view piece)
{
    std::string complete;
    const std::vector<stream_event> events = m_splitter.add(piece);
    m_hasEvent = m_hasEvent || !events.empty();
    for (const stream_event &event : events) {
        const stream_position::action verdict = m_position.advance(event);
        if (verdict == stream_position::action::Gap) {
            throw http_error(sent_state::MaybeSent, false, "events are missing before event " + std::to_string(*event.id));
        }
        complete += verdict == stream_position::action::Forward ? event.bytes : std::string();
        m_hasEventWithoutId = m_hasEventWithoutId || (!event.id && !event.data.empty());
    }
    if (m_splitter.isTooLong()) {
        throw http_error(sent_state::MaybeSent, false, "an event is longer than any upstream makes");
    }
    if (!complete.empty()) {
        m_version = m_runVersion; // The same as before if the stream had begun.
    }
    return complete;
}

std::string relayed_stream::doubtAboutEnd(const answer_head &head) const
{
    const bool isStream = m_isStream && head.kind == answer_kind::Success;
    if (isStream && (m_splitter.hasPartialEvent() || (head.isEventStream && !m_boundary.isBetweenEvents()))) {
        return "the stream ended within an event";
    }
    if (!isStream || provesEnd(head.framing)) {
        return {};
    }
    // Otherwise the client gets the stream as it came, and knows of its end what is known here.
    if (provesEnd(m_clientFraming)) {
        return "nothing marks the end of a stream that has begun with a frame";
    }
    return m_resumable && !m_hasEvent ? "the stream has no event and nothing marks its end" : std::string();
}

bool relayed_stream::canContinue() const
{
    const bool fits = !continues() || !m_version.empty();
    return !m_headSent || (m_resumable && !m_hasEventWithoutId && fits);
}

} // namespace banyan
