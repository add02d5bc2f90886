#pragma once

#include "banyan/core/attempt_result.h"
#include "banyan/core/byte_share.h"
#include "banyan/core/identifier.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/http_client.h"
#include "banyan/io/serving/answer_head.h"
#include "banyan/io/serving/upstream_protocol.h"
#include "banyan/io/serving/upstream_run.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan {

class client_memory;
class stop_signal;
class upstream_paths;
struct attempt_route;
struct forwarder;

/// Result of one attempt at an upstream.
struct attempt_report
{
    attempt_result result;
    std::optional<answer_head> head; ///< Set once the head of an answer has been received.
    std::string body; ///< Body, unless it was passed to attempt_observer::onBody.
    byte_share held; ///< Of the body.
    node_id forwarder; ///< The node through which the attempt went; empty if it went directly.
    bool wasNotReached = false; ///< The forwarder could not open a connection to the upstream either.
    bool isOfForwarder = false; ///< The forwarder has failed: others should be asked for a while.
    bool isOfPath = false; ///< It failed on the way: that says nothing about the upstream or the content.
    bool staleConnection = false; ///< Lost on a reused connection that the upstream may have closed while it was idle.
    std::string error; ///< For logs; empty if the answer is complete.
};

/// Callbacks that receive an answer with answer_kind::Success while it arrives.
struct attempt_observer
{
    std::function<task<>(const answer_head &head)> onHead;
    std::function<task<>(std::string_view piece)> onBody; ///< If null, the body is collected in attempt_report::body.
    std::function<void()> onRoomAwaited; ///< Reading stops until there is memory for the answer: from now on the upstream is not slow.
};

/// The outcome that the scheduler should hear of: a failure that says nothing about the upstream counts as cancelled.
[[nodiscard]] attempt_result resultForScheduler(const attempt_report &report);

/// Sends attempts to upstreams over pooled connections, or through another node if this one does not reach the upstream.
class upstream_sender
{
public:
    /// @p client must outlive the sender.
    upstream_sender(http_client &client, upstream_protocol protocol);

    /// Lets attempts go through other nodes where @p paths says that this one does not reach an upstream. @p peerClient opens
    /// connections to other nodes. Both must outlive the sender. Without this call every attempt goes directly.
    void usePaths(upstream_paths &paths, http_client &peerClient, node_id self);

    /// Sends one attempt and waits for its end. @p stop cancels the attempt and closes its connection.
    [[nodiscard]] task<attempt_report>
    send(upstream_run run, http_client::stream_timeouts timeouts, attempt_observer observer, stop_signal &stop);

    /// Draws the answers that are collected on @p memory, and reads on only while there is room. @p memory must outlive the sender.
    void limitMemory(client_memory &memory);

    /// Hashes of the ids of the prompt parts that a request with these fields may share with others.
    [[nodiscard]] std::vector<std::uint64_t> sharedParts(const std::vector<http_field> &fields) const;

    /// The size that a request with these fields states.
    [[nodiscard]] request_size statedSize(const std::vector<http_field> &fields) const;

    /// Calls @p handler for each run whose answer says that its upstream is leaving, as soon as the head of the answer has been
    /// received.
    void onUpstreamLeaves(std::function<void(const upstream_run &run, unsigned status)> handler);

    /// Calls @p handler with what each answer says about its upstream's rate, as soon as the head of the answer has been received.
    void onRateStatement(std::function<void(const upstream_run &run, const answer_head &head)> handler);

private:
    task<attempt_report>
    sendDirectly(std::shared_ptr<upstream_run> kept, http_client::stream_timeouts timeouts, attempt_observer observer, stop_signal &stop);
    task<attempt_report>
    sendThrough(forwarder through, upstream_run run, http_client::stream_timeouts timeouts, attempt_observer observer, stop_signal &stop);
    task<attempt_report>
    exchange(attempt_route by, upstream_run run, http_client::stream_timeouts timeouts, attempt_observer observer, stop_signal &stop);
    task<> makeRoom(attempt_report &report, std::size_t bytes, const attempt_observer &observer, stop_signal &stop);
    task<>
    collect(attempt_report &report, std::string_view piece, std::size_t announced, const attempt_observer &observer, stop_signal &stop);

    http_client &m_client;
    http_client *m_peerClient = nullptr;
    upstream_paths *m_paths = nullptr; ///< If null, every attempt goes directly.
    node_id m_self;
    client_memory *m_memory = nullptr;
    upstream_protocol m_protocol;
    std::function<void(const upstream_run &run, unsigned status)> m_upstreamLeaves;
    std::function<void(const upstream_run &run, const answer_head &head)> m_rateStatement;
};

} // namespace banyan
