#pragma once

#include "child_process.h"

#include "banyan/core/endpoint.h"
#include "banyan/io/http_message.h"

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace banyan::process_tests {

/// An exchange that got no whole answer.
class call_failure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A blocking HTTP connection for tests. Each step fails with call_failure after @p patience.
class test_connection
{
public:
    explicit test_connection(const endpoint &to, std::chrono::milliseconds patience = defaultPatience);
    ~test_connection();

    void send(const http_request &request);
    /// Sends bytes as they are, for input that is not valid HTTP.
    void sendRaw(std::string_view bytes);

    /// Reads a whole answer.
    [[nodiscard]] http_response receive();
    /// Reads an answer's head only; the body is read by receivePiece().
    [[nodiscard]] http_response receiveHead();
    /// Reads the next piece of the body; empty at its end.
    [[nodiscard]] std::string receivePiece();

    /// Whether the other side has closed the connection (waits for it).
    [[nodiscard]] bool closedByPeer();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Sends one request on its own connection and reads the whole answer. @throws call_failure
[[nodiscard]] http_response call(const endpoint &to, const http_request &request, std::chrono::milliseconds patience = defaultPatience);

} // namespace banyan::process_tests
