#include "upstream_rates.h"

#include "banyan/core/serving/request_scheduler.h"
#include "banyan/core/serving/upstream_cell.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/serving/answer_head.h"
#include "banyan/io/serving/scheduler_host.h"
#include "banyan/io/serving/slot_broker.h"
#include "banyan/io/serving/upstream_run.h"

#include <set>
#include <string>
#include <utility>

namespace banyan {

upstream_rates::upstream_rates(const upstream_rates_ports &ports)
    : m_ports(ports)
    , m_shares({.self = ports.self})
{
}

bool upstream_rates::record(const upstream_run &run, const answer_head &head, time_point now)
{
    if (head.rate.malformed) {
        logEvent(log_level::Info, "upstream_limit_malformed", {{"upstream", run.upstream.text()}, {"request_id", run.id.text()}});
    }
    const upstream_limits::change change = m_limits.record(keyOfStart(run.upstream, run.startedAt), head.rate, now);
    if (change == upstream_limits::change::None) {
        return false;
    }
    m_ports.metrics.count("upstream_limit_changed");
    logEvent(log_level::Info,
             "upstream_limit",
             {{"upstream", run.upstream.text()},
              {"started_at_ms", std::to_string(run.startedAt)},
              {"change", std::string(toString(change))},
              {"per_second", std::to_string(head.rate.perSecond)},
              {"told_by", "self"},
              {"request_id", run.id.text()},
              {"status", std::to_string(head.status)}});
    apply(now);
    return true;
}

void upstream_rates::recordReport(const node_load &load, time_point now)
{
    m_shares.record(load.sender, load.leases, now);
    for (const reported_limit &limit : load.limits) {
        const upstream_limits::change change = m_limits.recordReport(limit, now);
        if (change == upstream_limits::change::Named || change == upstream_limits::change::Ended) {
            logEvent(log_level::Info,
                     "upstream_limit",
                     {{"upstream_key", std::to_string(limit.start)},
                      {"change", std::string(toString(change))},
                      {"per_second", std::to_string(limit.perSecond)},
                      {"told_by", load.sender.text()},
                      {"age_us", std::to_string(limit.age.count())}});
        }
    }
}

void upstream_rates::setUpstreams(std::span<const replica> upstreams, time_point now)
{
    m_registered.clear();
    for (const replica &upstream : upstreams) {
        m_registered.emplace(keyOfStart(upstream), upstream.id);
    }
    apply(now);
}

void upstream_rates::setNodes(std::size_t count, duration leaseTime)
{
    m_shares.setNodeCount(count);
    m_shares.setLeaseTime(leaseTime);
}

std::vector<reported_limit> upstream_rates::limitsToReport(time_point now) const
{
    return m_limits.toReport(now);
}

/// Visits the registered upstreams that are limited or recovering, with their cells and the rates for all nodes together.
void upstream_rates::forEachLimited(time_point now, const visitor &visit) const
{
    for (const auto &[start, rate] : m_limits.allowedRates(now)) {
        const auto registered = m_registered.find(start);
        const replica *const upstream = registered == m_registered.end() ? nullptr : m_ports.scheduler.find(registered->second);
        if (upstream != nullptr) {
            visit(*upstream, cellOf(upstream->id, cellCountFor(m_ports.scheduler.upstreamsOf(upstream->service).size())), rate);
        }
    }
}

std::vector<share_lease> upstream_rates::leasesToReport(time_point now)
{
    std::map<cell_key, node_id> claimedFrom;
    forEachLimited(now, [&](const replica &upstream, const upstream_cell &cell, double) {
        const cell_key key = keyOf(upstream.service, cell);
        if (!claimedFrom.contains(key)) {
            claimedFrom.emplace(key, m_ports.slots.schedulingNodeFor(upstream.service, cell));
        }
    });
    return m_shares.renew(claimedFrom, now);
}

void upstream_rates::apply(time_point now)
{
    m_shares.expire(now);
    if (!m_limits.empty()) {
        std::set<upstream_key> registered;
        for (const auto &[start, id] : m_registered) {
            registered.insert(start);
        }
        m_limits.expire(registered, now);
    }
    m_ports.metrics.set("upstreams_limited", static_cast<double>(m_limits.limitedCount()));
    std::map<upstream_id, allowed_rate> rates;
    std::map<cell_key, double> shares;
    forEachLimited(now, [&](const replica &upstream, const upstream_cell &cell, double rate) {
        const cell_key key = keyOf(upstream.service, cell);
        shares[key] = m_shares.shareOf(key, now);
        rates.emplace(upstream.id, allowedRateOf(rate, shares[key]));
    });
    logShares(shares);
    if (!rates.empty() || !m_applied.empty()) {
        m_ports.scheduler.setAllowedRates(rates);
    }
    m_applied = std::move(rates);
}

void upstream_rates::logShares(const std::map<cell_key, double> &shares)
{
    for (const auto &[cell, share] : shares) {
        const auto before = m_loggedShares.find(cell);
        if (before == m_loggedShares.end() || before->second != share) {
            logEvent(log_level::Info, "limit_share_changed", {{"cell_key", std::to_string(cell)}, {"share", std::to_string(share)}});
        }
    }
    m_loggedShares = shares;
}

} // namespace banyan
