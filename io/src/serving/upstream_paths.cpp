#include "banyan/io/serving/upstream_paths.h"

#include "banyan/core/serving/request_scheduler.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_error.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace banyan {

namespace {

constexpr std::size_t mostListed = 64; ///< Unreachable upstreams in a report.
constexpr std::size_t mostLogged = 8; ///< Upstreams named in a log line.

connect_outcome outcomeOf(const http_error &error)
{
    return error.timedOut() ? connect_outcome::TimedOut : connect_outcome::Refused;
}

} // namespace

upstream_paths::watched_run::watched_run(upstream_paths &paths, const upstream_id &upstream, std::function<void()> hangs)
    : m_paths(paths)
    , m_upstream(upstream)
    , m_hangs(std::move(hangs))
    , m_number(++paths.m_lastRun)
    , m_startedAt(currentTime())
{
    m_paths.m_runs.emplace(m_number, this);
    m_paths.m_monitor.waits(m_number, m_upstream, m_startedAt);
    m_paths.scheduleReview(m_startedAt);
}

upstream_paths::watched_run::~watched_run()
{
    m_paths.m_runs.erase(m_number);
    m_paths.m_monitor.ended(m_number);
}

void upstream_paths::watched_run::connected(bool isNew)
{
    if (isNew) {
        m_paths.connectEnded(m_upstream, m_startedAt, m_paths.m_ports.client.connectTimeout(), connect_outcome::Established);
    }
}

void upstream_paths::watched_run::heard()
{
    m_paths.m_monitor.heard(m_number, currentTime());
}

void upstream_paths::watched_run::failed(const http_error &error)
{
    if (error.sent() == sent_state::NotSent) {
        m_paths.connectEnded(m_upstream, m_startedAt, m_paths.m_ports.client.connectTimeout(), outcomeOf(error));
    }
}

upstream_paths::upstream_paths(const upstream_paths_ports &ports)
    : m_ports(ports)
    , m_forwarders(ports.board, ports.hubs)
    , m_timer(ports.context)
{
}

upstream_paths::~upstream_paths() = default;

void upstream_paths::setUpstreams(std::span<const replica> upstreams)
{
    m_addresses.clear();
    for (const replica &upstream : upstreams) {
        m_addresses.emplace(upstream.id, upstream.address);
    }
    m_monitor.setUpstreams(upstreams);
    review();
}

void upstream_paths::setNodes(std::vector<forwarder> nodes)
{
    m_forwarders.setNodes(std::move(nodes));
}

bool upstream_paths::isLost(const upstream_id &upstream) const
{
    return m_monitor.isLost(upstream);
}

bool upstream_paths::isDoubtful(const upstream_id &upstream) const
{
    return m_monitor.isDoubtful(upstream);
}

bool upstream_paths::isLostAlone(const upstream_id &upstream) const
{
    return m_monitor.isLostAlone(upstream);
}

std::optional<forwarder> upstream_paths::chooseForwarder(const upstream_id &upstream, std::span<const node_id> tried)
{
    std::optional<forwarder> chosen = m_forwarders.choose(keyOf(upstream), tried, m_generator, currentTime());
    m_ports.metrics.count(chosen ? "forwarder_asked" : "forwarder_missing");
    return chosen;
}

std::vector<upstream_key> upstream_paths::unreachable() const
{
    std::vector<upstream_key> result;
    for (const upstream_id &upstream : m_monitor.lost()) {
        if (result.size() < mostListed) {
            result.push_back(keyOf(upstream));
        }
    }
    return result;
}

bool upstream_paths::reachesNone() const
{
    const std::vector<upstream_id> lost = m_monitor.lost();
    const bool hearsOthers = std::any_of(lost.begin(), lost.end(), [this](const upstream_id &upstream) {
        return m_monitor.isLostAlone(upstream);
    });
    return lost.size() > mostListed || (!lost.empty() && !hearsOthers);
}

void upstream_paths::connectEnded(const upstream_id &upstream, time_point startedAt, duration allowed, connect_outcome outcome)
{
    m_monitor.connected(upstream, startedAt, allowed, outcome, currentTime());
    review();
}

/// Takes what the monitor asks for, and wakes up again when it wants to.
void upstream_paths::review()
{
    const time_point now = currentTime();
    for (const upstream_id &upstream : m_monitor.takeProbes(now)) {
        probe(upstream);
    }
    for (const path_change &change : m_monitor.takeChanges()) {
        apply(change);
    }
    scheduleReview(now);
}

/// Lets the timer wake up when the monitor wants to be asked next.
void upstream_paths::scheduleReview(time_point now)
{
    const std::optional<time_point> next = m_monitor.nextWakeUp(now);
    if (!next || (m_wakeUp && *m_wakeUp <= *next && *m_wakeUp > now)) {
        return;
    }
    m_wakeUp = next;
    m_timer.expires_after(*next - now);
    m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](const boost::system::error_code &error) {
        if (!error && !alive.expired()) {
            m_wakeUp.reset();
            review();
        }
    });
}

void upstream_paths::apply(const path_change &change)
{
    log(change);
    m_ports.metrics.set("upstreams_unreachable", static_cast<double>(m_monitor.lost().size()));
    for (const upstream_id &upstream : change.upstreams) {
        const auto address = m_addresses.find(upstream);
        if (change.isLost && address != m_addresses.end()) {
            m_ports.client.closeIdle(address->second); // They may have been forgotten on the way when the path is open again.
        }
    }
    if (change.isLost && change.isOfGroup) {
        std::vector<std::function<void()>> hanging; // Telling a run may end others.
        const std::set<upstream_id> silent(change.upstreams.begin(), change.upstreams.end());
        for (const auto &[number, run] : m_runs) {
            if (silent.contains(run->m_upstream) && run->m_hangs) {
                hanging.push_back(run->m_hangs);
            }
        }
        for (const std::function<void()> &tell : hanging) {
            tell();
        }
    }
    if (m_ports.changed) {
        m_ports.changed();
    }
}

/// One line for each change, since a lost way concerns many upstreams at once.
void upstream_paths::log(const path_change &change) const
{
    std::string names;
    for (std::size_t index = 0; index < std::min(mostLogged, change.upstreams.size()); ++index) {
        names.append(names.empty() ? "" : " ").append(change.upstreams[index].text());
    }
    m_ports.metrics.count(change.isLost ? "path_lost" : "path_regained");
    logEvent(change.isLost && change.isOfGroup ? log_level::Warning : log_level::Info,
             change.isLost ? "upstreams_unreachable" : "upstreams_reachable",
             {{"upstreams", names},
              {"count", std::to_string(change.upstreams.size())},
              {"unreachable", std::to_string(m_monitor.lost().size())},
              {"registered", std::to_string(m_monitor.size())},
              {"evidence", change.evidence}});
}

void upstream_paths::probe(const upstream_id &upstream)
{
    const auto address = m_addresses.find(upstream);
    if (address == m_addresses.end()) {
        return;
    }
    m_ports.metrics.count("path_probed");
    asio::co_spawn(m_ports.context, runProbe(m_alive, upstream, address->second), asio::detached);
}

task<> upstream_paths::runProbe(std::weak_ptr<bool> alive, upstream_id upstream, endpoint address)
{
    const time_point startedAt = currentTime();
    const duration allowed = path_options().probeTime;
    connect_outcome outcome = connect_outcome::Established;
    try {
        co_await m_ports.client.openIdle(address, allowed);
    } catch (const http_error &error) {
        outcome = outcomeOf(error);
    } catch (const std::exception &error) {
        outcome = connect_outcome::Refused;
        logEvent(log_level::Warning, "path_probe_failed", {{"upstream", upstream.text()}, {"error", error.what()}});
    }
    if (!alive.expired()) {
        connectEnded(upstream, startedAt, allowed, outcome);
    }
}

} // namespace banyan
