#pragma once

#include "banyan/core/serving/event_boundary.h"
#include "banyan/core/serving/event_splitter.h"
#include "banyan/core/serving/stream_origin.h"
#include "banyan/core/serving/stream_position.h"
#include "banyan/io/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

struct answer_head;
struct client_request;
struct route;

/// The stream that a request relays to its client, over all runs that bring a part of it.
///
/// A resumable stream is passed on in whole events, so that another run can continue it; only at the software version that
/// began it, since the events of two versions do not fit together.
class relayed_stream
{
public:
    relayed_stream(const client_request &request, const route &matchedRoute);

    /// The stream over all requests of its client; 0 if it cannot be resumed.
    [[nodiscard]] stream_key key() const
    {
        return m_key;
    }

    /// Whether the client already has a part of the stream, from this request or an earlier one.
    [[nodiscard]] bool continues() const
    {
        return m_key != 0 && m_position.last().has_value();
    }

    /// The last event that the client has.
    [[nodiscard]] std::optional<std::uint64_t> lastEvent() const
    {
        return m_position.last();
    }

    /// The version that began the stream; empty if it has not begun or this is not known.
    [[nodiscard]] const std::string &version() const
    {
        return m_version;
    }

    /// Sets the version of a stream that an earlier request has begun.
    void bind(const std::string &version)
    {
        m_version = version;
    }

    /// Begins a run at an upstream of @p version.
    void beginRun(const std::string &version);

    /// Takes the head of a run's answer. Returns whether it has to be sent to the client, which it has to once.
    /// @throws http_error if the answer does not continue the stream
    [[nodiscard]] bool addHead(const answer_head &head);

    /// Takes a piece of a run's body. Returns what to pass on to the client.
    /// @throws http_error if the run cannot be used any further
    [[nodiscard]] std::string add(std::string_view piece);

    /// Why a run's answer that HTTP takes for complete is not known to be; empty if it is.
    [[nodiscard]] std::string doubtAboutEnd(const answer_head &head) const;

    /// Whether another run may bring the rest.
    [[nodiscard]] bool canContinue() const;

    /// Whether the head of the answer has been sent to the client.
    [[nodiscard]] bool headSent() const
    {
        return m_headSent;
    }

    /// Pieces of the current run's body so far.
    [[nodiscard]] std::uint32_t pieces() const
    {
        return m_pieces;
    }

private:
    [[nodiscard]] std::string addEvents(std::string_view piece);

    bool m_isStream;
    bool m_resumable;
    stream_key m_key;
    stream_position m_position;
    std::string m_version;
    std::string m_runVersion; ///< Of the current run's upstream.
    event_splitter m_splitter; ///< Of the current run of a resumable stream.
    event_boundary m_boundary; ///< Of another stream.
    std::uint32_t m_pieces = 0;
    bool m_hasEventWithoutId = false; ///< Passed on to the client; another run could not continue after it.
    bool m_hasEvent = false; ///< Whether the current run has brought a whole event; of a resumable stream.
    bool m_isEventStream = false; ///< Whether the answer to the client is an event stream.
    bool m_headSent = false;
    answer_framing m_clientFraming = answer_framing::Chunks; ///< Of the answer to the client.
};

} // namespace banyan
