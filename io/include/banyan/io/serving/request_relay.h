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
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace banyan {

class http_exchange;
class part_watch;
class node_metrics;
class organisation_gate;
class slot_broker;
class stream_versions;
class upstream_sender;

/// Dependencies of a request_relay; all of them must outlive it.
struct request_relay_ports
{
    asio::io_context &context;
    slot_broker &slots;
    upstream_sender &sender;
    part_watch &parts;
    node_metrics &metrics;
    stream_versions *versions = nullptr; ///< Knows what began the streams that clients take up; if null, nothing is known.
    /// Whether a request under a key may be sent to an upstream now; if empty, every one may.
    std::function<bool(const key_digest &key, const caller_id &holder, time_point now)> maySend = {};
    organisation_gate *limits = nullptr; ///< Keeps the limits of organisations; if null, there are none.
};

/// Forwards client requests to upstreams, retries failed attempts and returns the answers. Requests whose content keeps crashing
/// upstreams are quarantined and rejected.
class request_relay
{
public:
    /// How long each loss is included in load reports: several reports, so that a lost datagram does not hide it.
    static constexpr duration lossReportPeriod = std::chrono::seconds(1);

    request_relay(const request_relay_ports &ports, upstream_protocol protocol);
    ~request_relay();

    /// Answers one request, which matched @p matchedRoute of @p table. If a stream cannot be completed or the client has
    /// disconnected, returns without finishing the answer, so that the connection is closed.
    [[nodiscard]] task<>
    serve(http_exchange &exchange, client_request request, std::shared_ptr<const route_table> table, const route &matchedRoute);

    /// Number of requests in progress.
    [[nodiscard]] std::size_t inProgress() const;

    /// When the first caller was answered by an upstream; empty before.
    [[nodiscard]] std::optional<time_point> firstAnswerAt() const;

    /// Ends every request by @p end, with an answer that says what is known, also those in progress. A request that may take
    /// longer is not begun any more: one that must not be repeated from now on, any other from @p lastStart on.
    void beginShutdown(time_point lastStart, time_point end);

    /// Losses observed by this node within lossReportPeriod, to be reported to other nodes.
    [[nodiscard]] std::vector<lost_content> recentlyLost(time_point now) const;

    /// Hash of a request's target and body, which identifies contents that crash upstreams.
    [[nodiscard]] static std::uint64_t fingerprint(std::string_view target, std::string_view body);

    /// Records a loss that node @p seenBy has reported.
    void recordRemoteLoss(const lost_content &lost, const node_id &seenBy, time_point now);

    /// Records that an incarnation of an upstream is no longer registered. Its unanswered attempts then count as lost.
    void upstreamEnded(upstream_key incarnation, time_point now);

    /// Records that an incarnation of an upstream was still running at @p aliveAt, so that it has not crashed before.
    void upstreamAlive(upstream_key incarnation, time_point aliveAt);

    /// All contents that are quarantined at @p now.
    [[nodiscard]] std::vector<quarantined_fingerprint> quarantinedContents(time_point now) const;

    /// Fingerprints that were quarantined because of a loss that this node observed itself.
    [[nodiscard]] const std::set<std::uint64_t> &locallyQuarantined() const;

    /// Quarantines a content that another node has quarantined.
    void quarantineContent(std::uint64_t fingerprint, time_point now);

    /// Ends what quarantineContent() has begun, since the other node has withdrawn it.
    void withdrawQuarantine(std::uint64_t fingerprint);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
