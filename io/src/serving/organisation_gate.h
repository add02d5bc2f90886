#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/limit_tolerance.h"
#include "banyan/core/serving/organisation_limits.h"
#include "banyan/core/serving/slot_message.h"
#include "banyan/core/time.h"
#include "banyan/io/asio_types.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace banyan {

class node_metrics;
struct serving_configuration;

/// Dependencies of an organisation_gate; all of them must outlive it.
struct organisation_gate_ports
{
    asio::io_context &context;
    node_metrics &metrics;
    node_id self;
    std::function<bool(const node_id &to, const gateway_message &message)> send; ///< Sends a message, which may be lost.
};

/// Admits the requests of organisations within their limits over all nodes: runs organisation_limits and carries its messages.
class organisation_gate
{
public:
    organisation_gate(const organisation_gate_ports &ports, const limit_tolerance &tolerance);
    ~organisation_gate();

    /// Decides on a request: at once if this node has a credit or knows that there is none, else by the answer of another node, for
    /// some tens of milliseconds at most.
    [[nodiscard]] task<limit_decision> admit(const caller_id &organisation, const request_id &request);

    void configure(const serving_configuration &configuration, time_point now);

    /// Sets the number of registered nodes, for how long their shares are leased, and whether this node may hand out credits.
    void setNodes(std::size_t count, duration leaseTime, bool mayKeep);

    /// Handles messages of other nodes.
    void received(const credit_ask &ask);
    void received(const credit_grant &grant);

    /// This node's part of its load report with number @p sequence; every report has to carry it.
    [[nodiscard]] limit_pool_report report(std::uint64_t sequence, time_point now);

    /// Records a report of another node. @p mayKeep tells whether all nodes report to that node.
    void recordReport(const node_load &load, bool mayKeep, time_point now);

    /// Updates the metrics and logs changes of the shares that this node holds. To be called periodically.
    void housekeep(time_point now);

private:
    struct waiting_request;

    task<limit_decision> answerTo(std::uint64_t ask);
    void logRefused(const caller_id &organisation, const request_id &request, const limit_decision &decision, time_point arrivedAt) const;
    void updateMetrics();

    organisation_gate_ports m_ports;
    organisation_limits m_limits;
    std::map<std::uint64_t, std::shared_ptr<waiting_request>> m_waiting; ///< By ask.
    std::array<double, limit_pools::poolCount> m_loggedShares{};
    time_point m_metricsAt;
};

} // namespace banyan
