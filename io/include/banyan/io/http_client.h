#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace banyan {

/// Options of an http_client.
struct http_client_options
{
    duration connectTimeout = std::chrono::seconds(2);
    duration idleTimeout = std::chrono::seconds(20); ///< After which an unused connection is closed.
    std::size_t idleConnectionsPerEndpoint = 32;
    std::size_t maximumBody = std::size_t(64) << 20; ///< Bytes; a longer answer is an error.
    duration unacknowledgedTimeout =
        std::chrono::seconds(0); ///< Sent data may stay unacknowledged for so long (TCP_USER_TIMEOUT); 0: as the system has it.
};

/// Stops an exchange in progress: its connection is closed and the exchange fails with http_error.
class http_cancellation
{
public:
    /// Cancels the exchange that this belongs to, or at once the next one it is given to.
    void cancel();

    [[nodiscard]] bool cancelled() const
    {
        return m_cancelled;
    }

private:
    friend class http_client;
    bool m_cancelled = false;
    std::function<void()> m_close;
};

/// Which connections a request may be sent on.
enum class connection_choice {
    IdleOrNew,
    New, ///< A failure then cannot come from an idle connection that the peer has closed.
};

/// HTTP/1.1 towards outside systems, with reused connections.
class http_client
{
public:
    http_client(asio::io_context &context, const http_client_options &options);
    ~http_client();

    /// Sends @p request and reads the whole answer. @p timeout is the longest time for all of it.
    /// A request that fails on a reused connection before any byte of an answer came is NOT sent again here.
    /// @throws http_error
    [[nodiscard]] task<http_response> exchange(endpoint to, http_request request, duration timeout);

    /// Changes how many unused connections to one endpoint are kept, for those that become unused from now on.
    void setIdleConnectionsPerEndpoint(std::size_t count);

    /// Closes the unused connections to an endpoint.
    void closeIdle(const endpoint &to);

    /// Opens a connection within @p timeout and keeps it for the next request. @throws http_error with NotSent
    [[nodiscard]] task<> openIdle(endpoint to, duration timeout);

    /// Longest time for opening a connection.
    [[nodiscard]] duration connectTimeout() const;

    /// Connections opened so far.
    [[nodiscard]] std::uint64_t connectionsOpened() const;

    /// What a streamed answer is passed to, piece by piece.
    struct stream_handler
    {
        std::function<task<>(const http_response_head &head)> onHead;
        std::function<task<>(std::string_view piece)> onPiece; ///< Valid until the task ends.
        std::function<void(bool isNew)> onConnected = {}; ///< Before the request is sent, on a new or an idle connection.
        /// The id of the request that an answer names; empty if it names none. If null, no answer does.
        std::function<std::string(const http_response_head &head)> idOf = {};
    };

    /// Longest times within a streamed answer.
    struct stream_timeouts
    {
        duration firstByte; ///< From the sending of the request to the first byte of the answer's body.
        duration silence; ///< Without a byte after that.
    };

    /// How stream() sends a request.
    struct stream_options
    {
        stream_timeouts timeouts;
        std::shared_ptr<http_cancellation> cancellation = nullptr; ///< If null, nothing stops the exchange.
        connection_choice choice = connection_choice::IdleOrNew;
        std::string id = {}; ///< Of the request; empty if the peer's answers name none.
    };

    /// Sends @p request and passes its answer on as it comes. An answer that comes before the request's body is sent is taken
    /// as well; the connection is then not used again.
    ///
    /// A peer may repeat an earlier answer where the next one is due. No id is sent twice on one connection, so that an answer
    /// with the request's id is its own. One that names another request of the same connection is read and dropped; the
    /// connection is then not used again, and neither is one on which a failure has named no request.
    /// @throws http_error also if the answer is cut before its end
    [[nodiscard]] task<> stream(endpoint to, http_request request, stream_handler handler, stream_options options);

    /// Repeated answers to other requests that were dropped so far.
    [[nodiscard]] std::uint64_t repeatedAnswers() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
