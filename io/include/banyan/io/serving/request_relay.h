#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/quarantined_fingerprint.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/route_table.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/client_request.h"
#include "banyan/io/serving/upstream_protocol.h"

#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace banyan {

class http_exchange;
class node_metrics;
class slot_broker;
class upstream_sender;

/// What a request_relay works with; all of it must outlive the relay.
struct request_relay_ports
{
    asio::io_context &context;
    slot_broker &slots;
    upstream_sender &sender;
    node_metrics &metrics;
};

/// Runs clients' requests at upstreams and passes the answers on.
class request_relay
{
public:
    /// For which other nodes are told of a loss: some reports long, so that a lost datagram does no harm.
    static constexpr duration lossReportPeriod = std::chrono::seconds(1);

    request_relay(const request_relay_ports &ports, upstream_protocol protocol);
    ~request_relay();

    /// Answers one request, which came by @p by in @p table. Returns without the answer's end, so that the connection closes,
    /// if a stream cannot be completed or the client has gone.
    [[nodiscard]] task<>
    serve(http_exchange &exchange, client_request request, std::shared_ptr<const route_table> table, const route &matchedRoute);

    /// Requests in progress.
    [[nodiscard]] std::size_t inProgress() const;

    /// Contents whose attempts were lost within the last second, for the other nodes.
    [[nodiscard]] std::vector<lost_content> recentlyLost(time_point now) const;

    /// Names the content of a request. Contents that crash upstreams are told by it.
    [[nodiscard]] static std::uint64_t fingerprint(std::string_view target, std::string_view body);

    /// Takes in what another node has lost, as told by @p seenBy.
    void recordRemoteLoss(const lost_content &lost, const node_id &seenBy, time_point now);

    /// Takes in that a start of an upstream is not registered any more.
    void upstreamEnded(upstream_key incarnation, time_point now);

    /// All contents that are refused at @p now.
    [[nodiscard]] std::vector<quarantined_fingerprint> quarantinedContents(time_point now) const;

    /// Those that were stopped for a loss that this node has seen itself.
    [[nodiscard]] const std::set<std::uint64_t> &locallyQuarantined() const;

    /// Refuses a content that another node has stopped.
    void quarantineContent(std::uint64_t fingerprint, time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
