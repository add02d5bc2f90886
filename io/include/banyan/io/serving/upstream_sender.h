#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/http_client.h"
#include "banyan/io/serving/answer_head.h"
#include "banyan/io/serving/upstream_protocol.h"
#include "banyan/io/serving/upstream_run.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace banyan {

class stop_signal;

/// What came of an attempt.
struct attempt_report
{
    attempt_result result;
    std::optional<answer_head> head; ///< Once one has come.
    std::string body; ///< Of every answer that was not passed to onBody.
    bool staleConnection = false; ///< Lost on a connection that the upstream may have closed before.
    std::string error; ///< For logs; empty if the answer is whole.
};

/// Called while an answer with answer_kind::Success comes in.
struct attempt_observer
{
    std::function<task<>(const answer_head &head)> onHead;
    std::function<task<>(std::string_view piece)> onBody; ///< Null: the body is collected in the report.
};

/// Sends attempts to upstreams over kept connections.
class upstream_sender
{
public:
    /// @p client must outlive the sender.
    upstream_sender(http_client &client, upstream_protocol protocol);

    /// Sends one attempt and waits for its end. A stop closes its connection.
    [[nodiscard]] task<attempt_report>
    send(upstream_run run, http_client::stream_timeouts timeouts, attempt_observer observer, stop_signal &stop);

    /// Calls @p handler with each run whose answer says that its upstream leaves, as soon as the answer's head has come.
    void onUpstreamLeaves(std::function<void(const upstream_run &run, unsigned status)> handler);

private:
    http_client &m_client;
    upstream_protocol m_protocol;
    std::function<void(const upstream_run &run, unsigned status)> m_upstreamLeaves;
};

} // namespace banyan
