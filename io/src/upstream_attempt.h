#pragma once

#include "banyan/core/attempt_id.h"
#include "banyan/core/attempt_result.h"
#include "banyan/core/dispatch_action.h"
#include "banyan/core/endpoint.h"
#include "banyan/core/serving/event_boundary.h"
#include "banyan/io/async_event.h"
#include "banyan/io/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// One sending of a request to an upstream, and the part of its answer that has not been passed on yet.
class upstream_attempt
{
public:
    upstream_attempt(asio::io_context &context, const start_attempt &order, endpoint address);

    /// What the sender learns while the answer comes.
    struct observer
    {
        std::function<void()> onFirstByte; ///< Of an answer that may be passed on; not of a refusal or failure.
        std::function<void()> onData; ///< More is buffered.
        std::function<void(std::uint32_t tokens)> onProgress; ///< Tokens of a streamed answer since the last call; a few calls a second.
    };

    /// Sends @p request and buffers its answer; waits while more than @p highWater bytes wait for a chosen attempt's reader.
    /// Fails an attempt whose buffered answer exceeds @p maximumBuffered bytes. Never throws.
    [[nodiscard]] task<attempt_result> send(http_client &client, http_request request, std::size_t maximumBuffered, observer watcher);

    /// Gives the attempt up; send() then ends soon.
    void cancel();

    /// From now on the answer is read as it comes, and a slow reader slows the upstream down.
    void choose();

    /// Takes what is buffered.
    [[nodiscard]] std::string takePieces();

    [[nodiscard]] bool hasPieces() const
    {
        return !m_pieces.empty();
    }

    [[nodiscard]] bool headSeen() const
    {
        return m_headSeen;
    }

    [[nodiscard]] bool cancelled() const
    {
        return m_cancelled;
    }

    [[nodiscard]] unsigned status() const
    {
        return m_status;
    }

    [[nodiscard]] const std::vector<http_field> &fields() const
    {
        return m_fields;
    }

    /// Why there is no whole answer, for logs; empty if there is one.
    [[nodiscard]] const std::string &error() const
    {
        return m_error;
    }

    [[nodiscard]] const start_attempt &order() const
    {
        return m_order;
    }

private:
    [[nodiscard]] http_client::stream_handler makeHandler(std::size_t maximumBuffered, const observer &watcher);
    [[nodiscard]] attempt_result resultOfAnswer() const;
    [[nodiscard]] std::uint32_t tokensOfAnswer() const;
    void countTokens(std::string_view piece, const observer &watcher);

    start_attempt m_order;
    endpoint m_address;
    async_event m_drained;
    std::shared_ptr<http_cancellation> m_cancellation = std::make_shared<http_cancellation>();
    bool m_cancelled = false;
    bool m_chosen = false;
    bool m_headSeen = false;
    unsigned m_status = 0;
    std::vector<http_field> m_fields;
    std::string m_error;
    std::string m_pieces;
    bool m_isEventStream = false;
    event_boundary m_boundary; ///< Of an event stream.
    std::string m_tail; ///< Of a whole answer, where its token usage stands.
    std::uint32_t m_tokens = 0;
    std::uint32_t m_unreportedTokens = 0;
    time_point m_reportedAt{};
};

} // namespace banyan
