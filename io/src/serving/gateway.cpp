#include "banyan/io/serving/gateway.h"

#include "banyan/core/serving/connection_share.h"
#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/replica_registry.h"
#include "banyan/core/serving/report_hubs.h"
#include "banyan/core/serving/request_scheduler.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_client.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/serving/listed_job_service.h"
#include "banyan/io/serving/peer_exchange.h"
#include "banyan/io/serving/request_relay.h"
#include "banyan/io/serving/scheduler_host.h"
#include "banyan/io/serving/serving_codec.h"
#include "banyan/io/serving/slot_broker.h"
#include "banyan/io/serving/table_follower.h"
#include "banyan/io/serving/upstream_sender.h"
#include "content_stops.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <set>
#include <utility>

namespace banyan {

namespace {

constexpr duration reportMemory = std::chrono::milliseconds(1500); // Some heartbeats of other gateways.
constexpr duration registryGrace = std::chrono::seconds(2); // Upstreams that live register again within two seconds of the store's return.
constexpr duration configurationPause = std::chrono::milliseconds(100);
constexpr duration replicaPause = std::chrono::milliseconds(200);
constexpr duration gatewayPause = std::chrono::seconds(1);
constexpr duration gatewayWait = std::chrono::seconds(4); // The list of gateways seldom changes, and a late change does little harm.
constexpr duration registrationRetry = std::chrono::milliseconds(500);
constexpr duration loadChangeDelay = std::chrono::milliseconds(5); // One look at the board for the reports of many gateways.
constexpr duration housekeepingInterval = std::chrono::milliseconds(100); // Silent nodes are noticed that much later.
constexpr duration suspensionNoticed = std::chrono::seconds(1); // A timer that is so late means that the process stood still.
constexpr std::size_t mostLostElsewhere = 64; // Bounds the reports; what is left out is reported by its node again.
const std::string gatewayTable = "gateways";

node_id newIncarnation(const vm_id &vm)
{
    std::random_device source;
    return node_id(vm.text() + "-" + std::to_string((std::uint64_t(source()) << 32U) | source()));
}

} // namespace

class gateway::implementation : public std::enable_shared_from_this<gateway::implementation>
{
public:
    implementation(asio::io_context &context, const gateway_settings &settings, gateway_platform platform, http_client &upstreamClient)
        : m_context(context)
        , m_settings(settings)
        , m_platform(std::move(platform))
        , m_self(newIncarnation(settings.vm))
        , m_upstreamClient(upstreamClient)
        , m_hubs({.self = m_self})
        , m_board(reportMemory, m_hubs.reportTimeout())
        , m_registry(registryGrace)
        , m_scheduler(context, {.self = m_self, .seed = std::random_device{}()}, m_board)
        , m_slots({.context = context,
                   .scheduler = m_scheduler,
                   .board = m_board,
                   .send =
                       [this](const node_id &to, const gateway_message &message) {
                           return m_exchange.send(to, message);
                       },
                   .hubs = &m_hubs},
                  m_self,
                  settings.domain)
        , m_sender(upstreamClient, m_platform.protocol)
        , m_relay({.context = context, .slots = m_slots, .sender = m_sender, .metrics = m_metrics}, m_platform.protocol)
        , m_stops(std::make_shared<content_stops>(content_stops_ports{.context = context,
                                                                      .store = m_platform.store,
                                                                      .self = m_self,
                                                                      .stopped =
                                                                          [this](time_point now) {
                                                                              return m_relay.stoppedContents(now);
                                                                          },
                                                                      .decidedHere =
                                                                          [this] {
                                                                              return m_relay.contentsStoppedHere();
                                                                          },
                                                                      .stop =
                                                                          [this](std::uint64_t fingerprint, time_point now) {
                                                                              m_relay.stopContent(fingerprint, now);
                                                                          }}))
        , m_jobs({.context = context, .store = m_platform.store, .slots = m_slots, .sender = m_sender, .metrics = m_metrics},
                 {.self = m_self})
        , m_exchange(
              context,
              {.listen = settings.peerListen},
              [this] {
                  return ownLoad();
              },
              [this](const gateway_message &message) {
                  received(message);
              })
        , m_housekeeping(context)
        , m_loadChange(context)
    {
    }

    void start();
    task<> leave(duration jobTime);
    void housekeep();

    [[nodiscard]] bool isReady() const
    {
        return m_table != nullptr && m_replicasKnown && m_stops->isKnown() && !m_stopping;
    }

private:
    friend class gateway;

    void follow(table_follower_options options, table_observer observer);
    [[nodiscard]] table_observer configurationObserver();
    [[nodiscard]] table_observer replicaObserver();
    [[nodiscard]] table_observer gatewayObserver();
    void configurationRead(const table_row &row);
    void replicaChanged(const table_row &row);
    void replicasChanged();
    void upstreamLeaves(const upstream_run &run, unsigned status);
    void toldLeaving(const node_load &load, time_point now);
    void updatePlacing();
    void gatewayRead(const table_row &row);
    void gatewaysChanged();
    static task<> registerSelf(std::shared_ptr<implementation> self);
    [[nodiscard]] table_key ownRow() const;
    std::vector<lost_content> lostToReport(time_point now);
    node_load ownLoad();
    void received(const gateway_message &message);
    void loadReported(const node_load &load);

    asio::io_context &m_context;
    gateway_settings m_settings;
    gateway_platform m_platform;
    node_id m_self;
    http_client &m_upstreamClient;
    node_metrics m_metrics;
    report_hubs m_hubs;
    load_board m_board;
    replica_registry m_registry;
    scheduler_host m_scheduler;
    slot_broker m_slots;
    upstream_sender m_sender;
    request_relay m_relay;
    std::shared_ptr<content_stops> m_stops;
    listed_job_service m_jobs;
    peer_exchange m_exchange;
    asio::steady_timer m_housekeeping;
    asio::steady_timer m_loadChange;
    bool m_loadChangePending = false;
    time_point m_housekeptAt;
    std::shared_ptr<const route_table> m_table;
    std::function<void(const serving_configuration &)> m_configurationHandler;
    std::map<std::string, gateway_entry> m_gateways; ///< By row key.
    std::set<upstream_key> m_registeredStarts; ///< Of upstreams.
    std::vector<std::pair<time_point, lost_content>> m_lostElsewhere; ///< To be passed on.
    std::uint64_t m_sequence = 0;
    endpoint m_peerAddress;
    bool m_replicasKnown = false;
    bool m_replicasChanged = false; ///< By rows that the present call has brought.
    bool m_storeLost = false;
    bool m_stopping = false;
};

void gateway::implementation::start()
{
    m_housekeptAt = currentTime();
    m_exchange.start();
    m_peerAddress = m_exchange.address();
    m_scheduler.onAddressReused([this](const upstream_id &upstream) {
        logEvent(log_level::Info, "upstream_address_reused", {{"upstream", upstream.text()}});
        m_registry.recordAddressReuse(upstream);
        replicasChanged();
    });
    m_sender.onUpstreamLeaves([this](const upstream_run &run, unsigned status) {
        upstreamLeaves(run, status);
    });
    m_scheduler.onUsageChanged([this] {
        m_exchange.requestReport();
    });
    updatePlacing();
    follow({.table = m_platform.configurationTable, .pause = configurationPause}, configurationObserver());
    follow({.table = m_platform.replicaTable, .pause = replicaPause}, replicaObserver());
    follow({.table = gatewayTable, .pause = gatewayPause, .wait = gatewayWait}, gatewayObserver());
    m_stops->start();
    m_jobs.start();
    asio::co_spawn(m_context, registerSelf(shared_from_this()), asio::detached);
    housekeep();
}

void gateway::implementation::follow(table_follower_options options, table_observer observer)
{
    auto follower = std::make_shared<table_follower>(m_context, m_platform.store, std::move(options), std::move(observer));
    asio::co_spawn(m_context, follower->run(), [follower](const std::exception_ptr &) {});
}

table_observer gateway::implementation::configurationObserver()
{
    table_observer observer;
    observer.onAll = [this](const std::vector<table_row> &rows) {
        for (const table_row &row : rows) {
            configurationRead(row);
        }
    };
    observer.onChange = [this](const table_row &row) {
        configurationRead(row);
    };
    return observer;
}

/// Puts a configuration into force unless it is older than the one in force.
void gateway::implementation::configurationRead(const table_row &row)
{
    if (row.name.key != m_platform.configurationKey || row.deleted) {
        return;
    }
    std::optional<serving_configuration> configuration = m_platform.decodeConfiguration(row);
    if (!configuration) {
        logEvent(log_level::Error, "configuration_not_readable", {{"row_version", std::to_string(row.version)}});
        return;
    }
    const std::uint64_t known = m_table ? m_table->configuration().version : 0;
    if (m_table && configuration->version <= known) {
        return;
    }
    logEvent(log_level::Info,
             "configuration_in_force",
             {{"version", std::to_string(configuration->version)},
              {"before", std::to_string(known)},
              {"row_version", std::to_string(row.version)},
              {"routes", std::to_string(configuration->routes.size())}});
    m_metrics.set("configuration_version", static_cast<double>(configuration->version));
    m_table = std::make_shared<const route_table>(std::move(*configuration));
    m_jobs.configure(m_table);
    if (m_configurationHandler) {
        m_configurationHandler(m_table->configuration());
    }
}

table_observer gateway::implementation::replicaObserver()
{
    table_observer observer;
    observer.onAll = [this](const std::vector<table_row> &rows) {
        std::vector<replica> registered;
        for (const table_row &row : rows) {
            if (std::optional<replica> entry = m_platform.decodeReplica(row)) {
                registered.push_back(std::move(*entry));
            } else {
                logEvent(log_level::Info, "upstream_row_unusable", {{"row", row.name.key}, {"version", std::to_string(row.version)}});
            }
        }
        m_registry.replaceAll(registered, currentTime());
        m_replicasKnown = true;
        replicasChanged();
        updatePlacing();
    };
    observer.onChange = [this](const table_row &row) {
        replicaChanged(row);
    };
    observer.onChangesTaken = [this] {
        // Most changes are heartbeats, which change nothing here.
        if (std::exchange(m_replicasChanged, false)) {
            replicasChanged();
        }
    };
    observer.onLost = [this] {
        m_registry.storeLost();
        m_storeLost = true;
        updatePlacing();
        m_metrics.set("store_available", 0);
    };
    observer.onRegained = [this] {
        m_registry.storeRegained(currentTime());
        m_storeLost = false;
        m_metrics.set("store_available", 1);
    };
    return observer;
}

void gateway::implementation::replicaChanged(const table_row &row)
{
    const std::optional<replica> entry = row.deleted ? std::nullopt : m_platform.decodeReplica(row);
    if (entry) {
        m_replicasChanged = m_registry.recordRegistration(*entry) || m_replicasChanged;
        return;
    }
    m_replicasChanged = true;
    logEvent(log_level::Info,
             row.deleted ? "upstream_gone" : "upstream_row_unusable",
             {{"row", row.name.key}, {"version", std::to_string(row.version)}});
    m_registry.recordRemoval(upstream_id(row.name.key), currentTime());
}

void gateway::implementation::replicasChanged()
{
    const std::vector<replica> replicas = m_registry.replicas();
    std::set<upstream_key> starts;
    for (const replica &entry : replicas) {
        starts.insert(keyOfStart(entry));
    }
    for (const upstream_key start : std::exchange(m_registeredStarts, starts)) {
        if (!starts.contains(start)) {
            m_relay.upstreamEnded(start, currentTime());
        }
    }
    m_scheduler.setUpstreams(replicas);
    m_metrics.set("upstreams_leaving", static_cast<double>(m_registry.leavingCount()));
}

/// Takes in that an upstream has said that it leaves: it gets no new work from here, whatever the store or other nodes say.
void gateway::implementation::upstreamLeaves(const upstream_run &run, unsigned status)
{
    if (!m_registry.recordLeaving(keyOfStart(run.upstream, run.startedAt), false, currentTime())) {
        return;
    }
    const auto usage = m_scheduler.scheduler().usage(currentTime());
    const auto work = usage.find(keyOf(run.upstream));
    const std::uint32_t inProgress = work == usage.end() ? 0 : work->second.online + work->second.batch;
    logEvent(log_level::Info,
             "upstream_leaving",
             {{"upstream", run.upstream.text()},
              {"started_at_ms", std::to_string(run.startedAt)},
              {"told_by", "self"},
              {"request_id", run.id.text()},
              {"status", std::to_string(status)},
              {"in_progress", std::to_string(inProgress)}});
    m_metrics.count("upstream_leaving");
    m_upstreamClient.closeIdle(run.address);
    replicasChanged();
    m_exchange.requestReport();
}

/// Takes in which upstreams have told another node that they leave, so that this one grants no more slots there.
void gateway::implementation::toldLeaving(const node_load &load, time_point now)
{
    bool changed = false;
    for (const upstream_key start : load.leaving) {
        if (m_registry.recordLeaving(start, true, now)) {
            changed = true;
            logEvent(log_level::Info, "upstream_leaving", {{"upstream_key", std::to_string(start)}, {"told_by", load.sender.text()}});
        }
    }
    if (changed) {
        replicasChanged();
    }
}

/// Leaves the requests of this node's cells to others unless its own list of upstreams is up to date.
void gateway::implementation::updatePlacing()
{
    const bool listUpToDate = m_replicasKnown && !m_storeLost;
    const scheduling_state state = m_stopping     ? scheduling_state::ShuttingDown
                                   : listUpToDate ? scheduling_state::Ready
                                                  : scheduling_state::UpstreamsUncertain;
    if (state != m_slots.schedulingState()) {
        logEvent(log_level::Info, "placing_changed", {{"state", std::string(toString(state))}});
        m_slots.setSchedulingState(state);
        m_jobs.setOwnState(state);
        m_exchange.requestReport();
    }
}

table_observer gateway::implementation::gatewayObserver()
{
    table_observer observer;
    observer.onAll = [this](const std::vector<table_row> &rows) {
        m_gateways.clear();
        for (const table_row &row : rows) {
            gatewayRead(row);
        }
        gatewaysChanged();
    };
    observer.onChange = [this](const table_row &row) {
        gatewayRead(row);
    };
    observer.onChangesTaken = [this] {
        gatewaysChanged();
    };
    return observer;
}

void gateway::implementation::gatewayRead(const table_row &row)
{
    m_gateways.erase(row.name.key);
    const std::optional<gateway_entry> entry = row.deleted ? std::nullopt : decodeGatewayEntry(row.value);
    if (entry) {
        m_gateways.emplace(row.name.key, *entry);
    } else if (!row.deleted) {
        logEvent(log_level::Warning, "gateway_row_malformed", {{"row", row.name.key}, {"version", std::to_string(row.version)}});
    }
}

void gateway::implementation::gatewaysChanged()
{
    std::set<node_id> registered;
    std::map<node_id, endpoint> peers;
    std::map<node_id, double> processorShares;
    for (const auto &[key, entry] : m_gateways) {
        registered.insert(entry.id);
        processorShares.emplace(entry.id, entry.processorShare);
        if (entry.peerAddress != m_peerAddress) {
            peers.emplace(entry.id, entry.peerAddress);
        }
    }
    m_hubs.setRegistered(processorShares);
    logEvent(log_level::Info,
             "gateways_changed",
             {{"others", std::to_string(peers.size())},
              {"hubs", std::to_string(m_hubs.hubs().size())},
              {"is_hub", m_hubs.isHub(m_self) ? "true" : "false"}});
    m_board.setUsageRetention(m_hubs.reportTimeout());
    m_exchange.configureReports(
        [this](const node_id &peer) {
            return m_hubs.reportsTo(peer);
        },
        m_hubs.interval());
    m_exchange.setPeers(peers);
    m_jobs.setHubs(m_hubs);
    m_jobs.setRegistered(registered);
}

table_key gateway::implementation::ownRow() const
{
    return {.table = gatewayTable, .part = {}, .key = m_peerAddress.toString()};
}

/// Registers this gateway under its address, in place of an earlier start of it.
task<> gateway::implementation::registerSelf(std::shared_ptr<implementation> self)
{
    for (bool registered = false; !registered && !self->m_stopping;) {
        table_transaction change;
        change.writes.push_back(
            {.name = self->ownRow(),
             .value = encode(gateway_entry{
                 .id = self->m_self, .peerAddress = self->m_peerAddress, .processorShare = self->m_settings.processorShare})});
        std::string failure;
        try {
            co_await self->m_platform.store.commit(std::move(change));
            registered = true;
        } catch (const platform_unavailable &error) {
            failure = error.what();
        } catch (const platform_outcome_unknown &error) {
            failure = error.what();
        }
        if (!registered) {
            logEvent(log_level::Warning, "gateway_not_registered", {{"reason", failure}});
            asio::steady_timer timer(self->m_context, registrationRetry);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
    logEvent(log_level::Info, "gateway_registered", {{"node", self->m_self.text()}});
}

/// What this node has lost itself, and at a hub what it has heard of from nodes that report to hubs only.
std::vector<lost_content> gateway::implementation::lostToReport(time_point now)
{
    std::vector<lost_content> result = m_relay.recentlyLost(now);
    std::erase_if(m_lostElsewhere, [&](const auto &heard) {
        return now - heard.first > request_relay::lossMemory;
    });
    for (const auto &[at, lost] : m_lostElsewhere) {
        result.push_back(lost);
    }
    return result;
}

node_load gateway::implementation::ownLoad()
{
    const time_point now = currentTime();
    return {.sender = m_self,
            .sequence = ++m_sequence,
            .usage = m_scheduler.scheduler().usage(now),
            .schedulingState = m_slots.schedulingState(),
            .waitingOnline = m_scheduler.scheduler().waitingByService(),
            .lost = lostToReport(now),
            .leaving = m_registry.locallyObservedLeaving(),
            .claims = m_slots.claims()};
}

void gateway::implementation::received(const gateway_message &message)
{
    if (const auto *const load = std::get_if<node_load>(&message)) {
        loadReported(*load);
    } else if (const auto *const claim = std::get_if<slot_claim>(&message)) {
        m_slots.received(*claim);
    } else if (const auto *const verdict = std::get_if<slot_verdict>(&message)) {
        m_slots.received(*verdict);
    } else if (const auto *const progress = std::get_if<slot_progress>(&message)) {
        m_slots.received(*progress);
    } else {
        m_slots.received(std::get<slot_release>(message));
    }
}

void gateway::implementation::loadReported(const node_load &load)
{
    const time_point now = currentTime();
    if (!m_board.record(load, now)) {
        return;
    }
    m_jobs.heard(load.sender, now, load.schedulingState);
    m_slots.reported(load);
    toldLeaving(load, now);
    for (const lost_content &lost : load.lost) {
        m_relay.lostElsewhere(lost, load.sender, now);
        if (!m_hubs.isHub(load.sender) && m_lostElsewhere.size() < mostLostElsewhere) {
            m_lostElsewhere.emplace_back(now, lost);
        }
    }
    if (!std::exchange(m_loadChangePending, true)) {
        m_loadChange.expires_after(loadChangeDelay);
        m_loadChange.async_wait([self = shared_from_this()](const boost::system::error_code &) {
            self->m_loadChangePending = false;
            self->m_scheduler.loadChanged();
        });
    }
}

void gateway::implementation::housekeep()
{
    const time_point now = currentTime();
    if (now - m_housekeptAt > housekeepingInterval + suspensionNoticed) {
        logEvent(log_level::Warning, "process_was_suspended", {{"for_us", std::to_string((now - m_housekeptAt).count())}});
    }
    m_housekeptAt = now;
    m_board.expire(now);
    m_slots.handleLostNodes();
    m_stops->housekeep(now);
    if (m_registry.tick(now)) {
        replicasChanged();
    }
    m_metrics.set("requests_in_progress", static_cast<double>(m_relay.inProgress()));
    m_metrics.set("jobs_coordinated", static_cast<double>(m_jobs.running()));
    if (m_table) {
        const std::size_t share = idleConnectionShare(m_table->configuration(), std::max(m_board.nodes().size() + 1, m_gateways.size()));
        m_upstreamClient.setIdleConnectionsPerEndpoint(std::min(share, http_client_options().idleConnectionsPerEndpoint));
    }
    m_metrics.set("live_nodes", static_cast<double>(m_board.nodes().size() + 1));
    m_metrics.setTotal("upstream_connections_opened", m_upstreamClient.connectionsOpened());
    m_housekeeping.expires_after(housekeepingInterval);
    m_housekeeping.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->housekeep();
        }
    });
}

task<> gateway::implementation::leave(duration jobTime)
{
    co_await m_jobs.handOver(jobTime);
    table_transaction change;
    change.removals.push_back(ownRow());
    std::string failure;
    try {
        co_await m_platform.store.commit(std::move(change));
    } catch (const platform_unavailable &error) {
        failure = error.what();
    } catch (const platform_outcome_unknown &error) {
        failure = error.what();
    }
    logEvent(log_level::Info, "gateway_left", {{"node", m_self.text()}, {"failure", failure}});
}

gateway::gateway(asio::io_context &context, const gateway_settings &settings, gateway_platform platform, http_client &upstreamClient)
    : m_implementation(std::make_shared<implementation>(context, settings, std::move(platform), upstreamClient))
{
}

gateway::~gateway() = default;

void gateway::start()
{
    m_implementation->start();
}

bool gateway::isReady() const
{
    return m_implementation->isReady();
}

std::string gateway::readinessText() const
{
    if (m_implementation->m_stopping) {
        return "stopping";
    }
    if (m_implementation->m_table == nullptr) {
        return "no configuration";
    }
    if (!m_implementation->m_replicasKnown) {
        return "no list of upstreams";
    }
    return m_implementation->m_stops->isKnown() ? "ready" : "no list of stopped contents";
}

std::shared_ptr<const route_table> gateway::routes() const
{
    return m_implementation->m_table;
}

request_relay &gateway::relay()
{
    return m_implementation->m_relay;
}

listed_job_service &gateway::jobs()
{
    return m_implementation->m_jobs;
}

node_metrics &gateway::metrics()
{
    return m_implementation->m_metrics;
}

void gateway::onConfiguration(std::function<void(const serving_configuration &configuration)> handler)
{
    m_implementation->m_configurationHandler = std::move(handler);
}

void gateway::beginStop()
{
    m_implementation->m_stopping = true;
    m_implementation->updatePlacing();
}

task<> gateway::leave(duration jobTime)
{
    return m_implementation->leave(jobTime);
}

} // namespace banyan
