#pragma once

#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/http_message.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

/// One request that this process received, and the way to answer it. Handlers either call respond() once, or begin(),
/// then write() any number of times, then finish().
class http_exchange
{
public:
    class implementation;

    /// Made by the server.
    explicit http_exchange(implementation &underlying)
        : m_implementation(underlying)
    {
    }
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    [[nodiscard]] const std::string &method() const;
    /// The path without the query, for example "/v1/batches/b-1/cancel".
    [[nodiscard]] const std::string &path() const;
    /// The path with the query, as received.
    [[nodiscard]] const std::string &target() const;
    /// The parts of the path that matched "{}" in the route's pattern, in order.
    [[nodiscard]] const std::vector<std::string> &pathArguments() const;
    /// The value of a query parameter, percent-decoded; none if it is absent.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
    /// The value of the first header field of that name; empty if there is none.
    [[nodiscard]] std::string field(std::string_view name) const;
    /// All header fields in the order of their arrival.
    [[nodiscard]] std::vector<http_field> fields() const;
    /// The id given to this request; also sent back in the server's field for ids.
    [[nodiscard]] const std::string &requestId() const;

    /// Reads the whole body. @throws http_body_error (413 or 400 has then been answered) if it is over @p limit bytes or cut.
    [[nodiscard]] task<std::string> body(std::size_t limit);
    /// Reads the next piece of the body; empty at its end. Memory stays bounded whatever the body's size.
    [[nodiscard]] task<std::string> bodyPiece();

    /// Sends a whole answer. One that is framed by the end of its connection is sent so as well: the peer is not told more of its
    /// completeness than is known here.
    [[nodiscard]] task<> respond(http_response response);
    /// Sends the head of an answer whose body follows in pieces, in chunks or up to the end of the connection. In the latter case
    /// the connection is reset if anything but finish() ends the answer, even the end of this process.
    [[nodiscard]] task<> begin(unsigned status, std::vector<http_field> fields, answer_framing framing = answer_framing::Chunks);
    [[nodiscard]] task<> write(std::string_view piece);
    [[nodiscard]] task<> finish();

    /// Lets the connection end with this answer, and says so in it.
    void closeAfterwards();

    /// Calls @p handler once if the peer goes away before the answer is complete.
    void onDisconnect(std::function<void()> handler);

private:
    implementation &m_implementation;
};

} // namespace banyan
