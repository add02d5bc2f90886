#include "organisation_gate.h"

#include "banyan/core/serving/node_load.h"
#include "banyan/core/serving/serving_configuration.h"
#include "banyan/io/clock.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace banyan {

namespace {

constexpr duration longestAnswer = std::chrono::milliseconds(100); // So long a keeper may pause that has used up its processor share.
constexpr duration metricsInterval = std::chrono::seconds(1);
constexpr std::size_t maximumNamed = 128; // Organisations with metrics of their own.
constexpr double loggedChange = 0.1; // Of a share.

std::uint64_t drawnNumber()
{
    std::random_device source;
    return (std::uint64_t(source()) << 32U) | source();
}

} // namespace

/// A request that waits for the answer to an ask.
struct organisation_gate::waiting_request
{
    explicit waiting_request(asio::io_context &context)
        : timer(context, longestAnswer)
    {
    }

    asio::steady_timer timer; ///< Cancelled when the answer has arrived.
    std::optional<limit_decision> decision;
};

organisation_gate::organisation_gate(const organisation_gate_ports &ports, const limit_tolerance &tolerance)
    : m_ports(ports)
    , m_limits({.self = ports.self, .startedAt = currentTime(), .tolerance = tolerance, .firstAsk = drawnNumber()})
{
}

organisation_gate::~organisation_gate() = default;

task<limit_decision> organisation_gate::admit(const caller_id &organisation, const request_id &request)
{
    const time_point arrivedAt = currentTime();
    limit_decision decision = m_limits.admit(organisation, arrivedAt);
    const bool isSent = decision.ask && m_ports.send(decision.ask->to, decision.ask->ask);
    if (decision.verdict == limit_verdict::Waiting) {
        const std::uint64_t ask = decision.ask->ask.id;
        if (isSent) {
            decision = co_await answerTo(ask);
        } else {
            decision = m_limits.giveUp(ask, currentTime());
        }
    }
    if (decision.verdict == limit_verdict::Refused) {
        logRefused(organisation, request, decision, arrivedAt);
    }
    co_return decision;
}

task<limit_decision> organisation_gate::answerTo(std::uint64_t ask)
{
    const auto waiting = std::make_shared<waiting_request>(m_ports.context);
    m_waiting.emplace(ask, waiting);
    boost::system::error_code ignored; // Cancelled by the answer.
    co_await waiting->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_waiting.erase(ask);
    if (!waiting->decision) {
        m_ports.metrics.count("limit_ask_unanswered");
        waiting->decision = m_limits.giveUp(ask, currentTime());
    }
    co_return *waiting->decision;
}

void organisation_gate::logRefused(const caller_id &organisation,
                                   const request_id &request,
                                   const limit_decision &decision,
                                   time_point arrivedAt) const
{
    const std::uint8_t pool = poolOf(organisationKey(organisation));
    logEvent(log_level::Info,
             "organisation_over_limit",
             {{"request_id", request.text()},
              {"organisation", organisation.text()},
              {"pool", std::to_string(pool)},
              {"pool_share", std::to_string(m_limits.shareOf(pool))},
              {"asked_us", std::to_string((currentTime() - arrivedAt).count())},
              {"retry_after_us", std::to_string(decision.retryAfter.count())}});
}

void organisation_gate::configure(const serving_configuration &configuration, time_point now)
{
    m_limits.configure(configuration.version, configuration.organisations, now);
}

void organisation_gate::setNodes(std::size_t count, duration leaseTime, bool mayKeep)
{
    m_limits.setNodes(count, leaseTime, mayKeep);
}

void organisation_gate::received(const credit_ask &ask)
{
    const credit_grant grant = m_limits.answer(ask, currentTime());
    (void)m_ports.send(ask.sender, grant); // An unknown sender gives up as it does after a lost answer.
}

void organisation_gate::received(const credit_grant &grant)
{
    std::optional<settled_request> settled = m_limits.record(grant, currentTime());
    const auto waiting = settled ? m_waiting.find(settled->ask) : m_waiting.end();
    if (waiting != m_waiting.end()) {
        waiting->second->decision = std::move(settled->decision);
        waiting->second->timer.cancel();
    }
}

limit_pool_report organisation_gate::report(std::uint64_t sequence, time_point now)
{
    return m_limits.report(sequence, now);
}

void organisation_gate::recordReport(const node_load &load, bool mayKeep, time_point now)
{
    const bool remains = load.schedulingState != scheduling_state::ShuttingDown;
    m_limits.recordReport(load.sender, load.sequence, mayKeep && remains, load.pools, now);
}

void organisation_gate::housekeep(time_point now)
{
    m_limits.advance(now);
    for (std::uint8_t pool = 0; pool < limit_pools::poolCount; ++pool) {
        const double share = m_limits.shareOf(pool);
        double &logged = m_loggedShares[pool];
        if (std::abs(share - logged) >= loggedChange || (share > 0) != (logged > 0)) {
            logged = share;
            logEvent(log_level::Info, "limit_pool_share", {{"pool", std::to_string(pool)}, {"share", std::to_string(share)}});
        }
    }
    if (now >= m_metricsAt) {
        m_metricsAt = now + metricsInterval;
        updateMetrics();
    }
}

void organisation_gate::updateMetrics()
{
    if (m_limits.empty()) {
        return;
    }
    std::size_t named = 0;
    limit_totals sum;
    for (const organisation_limits::usage &usage : m_limits.usages()) {
        sum.admitted += usage.totals.admitted;
        sum.refused += usage.totals.refused;
        if (++named <= maximumNamed) {
            m_ports.metrics.setTotal("organisation_admitted_" + usage.name, usage.totals.admitted);
            m_ports.metrics.setTotal("organisation_refused_" + usage.name, usage.totals.refused);
            m_ports.metrics.set("organisation_share_" + usage.name, m_limits.shareOf(usage.pool));
        }
    }
    m_ports.metrics.setTotal("limit_admitted", sum.admitted);
    m_ports.metrics.setTotal("limit_refused", sum.refused);
}

} // namespace banyan
