#pragma once

#include "banyan/core/identifier.h"
#include "banyan/core/serving/allowed_rate.h"
#include "banyan/core/serving/limit_shares.h"
#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/upstream_limits.h"
#include "banyan/core/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace banyan {

class node_metrics;
class scheduler_host;
class slot_broker;
struct answer_head;
struct upstream_run;

/// Dependencies of upstream_rates; all of them must outlive it.
struct upstream_rates_ports
{
    scheduler_host &scheduler;
    slot_broker &slots;
    node_metrics &metrics;
    node_id self;
};

/// Keeps this node's part of the rate limits that upstreams name: hears of limits, leases its shares to the nodes from which it
/// claims slots, and tells the scheduler how often it may start runs at which upstream.
class upstream_rates
{
public:
    explicit upstream_rates(const upstream_rates_ports &ports);

    /// Records what an answer to this node says about the rate that its upstream accepts. Returns whether other nodes should hear of
    /// it soon.
    [[nodiscard]] bool record(const upstream_run &run, const answer_head &head, time_point now);

    /// Records what answers to another node have said, and which shares of limits it lets this node use.
    void recordReport(const node_load &load, time_point now);

    /// Replaces the registered upstreams. The scheduler must already have them.
    void setUpstreams(std::span<const replica> upstreams, time_point now);

    /// Sets how many nodes share the limits, and for how long a share is leased.
    void setNodes(std::size_t count, duration leaseTime);

    /// What answers have told this node lately, for its load reports.
    [[nodiscard]] std::vector<reported_limit> limitsToReport(time_point now) const;

    /// Renews this node's leases; each load report has to carry the result.
    [[nodiscard]] std::vector<share_lease> leasesToReport(time_point now);

    /// Gives the scheduler this node's part of all limits. To be called periodically and after reports.
    void apply(time_point now);

private:
    using visitor = std::function<void(const replica &upstream, const upstream_cell &cell, double rate)>;

    void forEachLimited(time_point now, const visitor &visit) const;
    void logShares(const std::map<cell_key, double> &shares);

    upstream_rates_ports m_ports;
    upstream_limits m_limits;
    limit_shares m_shares;
    std::map<upstream_key, upstream_id> m_registered; ///< Registered incarnations of upstreams.
    std::map<upstream_id, allowed_rate> m_applied; ///< Rates that the scheduler keeps to.
    std::map<cell_key, double> m_loggedShares; ///< This node's part of the limits, by cell, as logged last.
};

} // namespace banyan
