#include "banyan/io/serving/gateway.h"

#include "banyan/core/descriptor_shares.h"
#include "banyan/core/serving/connection_share.h"
#include "banyan/core/serving/forwarder.h"
#include "banyan/core/serving/load_board.h"
#include "banyan/core/serving/replica_registry.h"
#include "banyan/core/serving/report_hubs.h"
#include "banyan/core/serving/request_scheduler.h"
#include "banyan/core/serving/start_steps.h"
#include "banyan/core/serving/upstream_cell.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_client.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/platform_error.h"
#include "banyan/io/serving/caller_admission.h"
#include "banyan/io/serving/forward_service.h"
#include "banyan/io/serving/listed_job_service.h"
#include "banyan/io/serving/part_watch.h"
#include "banyan/io/serving/peer_exchange.h"
#include "banyan/io/serving/request_relay.h"
#include "banyan/io/serving/scheduler_host.h"
#include "banyan/io/serving/serving_codec.h"
#include "banyan/io/serving/slot_broker.h"
#include "banyan/io/serving/stream_versions.h"
#include "banyan/io/serving/table_follower.h"
#include "banyan/io/serving/upstream_paths.h"
#include "banyan/io/serving/upstream_sender.h"
#include "content_quarantine.h"
#include "gateway_registry.h"
#include "organisation_gate.h"
#include "upstream_rates.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <set>
#include <utility>

namespace banyan {

namespace {

constexpr duration reportRetention = std::chrono::milliseconds(1500); // Several heartbeats of other gateways.
constexpr duration registryGrace = std::chrono::seconds(2); // Live upstreams register again within this time of the store's return.
constexpr duration configurationPause = std::chrono::milliseconds(100);
constexpr duration replicaPause = std::chrono::milliseconds(200);
constexpr duration loadChangeDelay = std::chrono::milliseconds(5); // Combines the reports of many gateways into one scheduler update.
constexpr duration placementReportInterval = std::chrono::seconds(1);
constexpr std::size_t loggedSpeeds = 5; ///< Upstreams listed from each end.
constexpr duration housekeepingInterval = std::chrono::milliseconds(100); // Delays the detection of unresponsive nodes by up to this time.
constexpr duration suspensionThreshold = std::chrono::seconds(1); // A timer that is this late means that the process was suspended.
constexpr std::size_t maximumRemoteLosses = 64; // Bounds the size of reports; the observing node repeats losses that are left out.
constexpr duration peerConnectTimeout = std::chrono::milliseconds(200); // Many round trips between gateways.
constexpr std::size_t idleConnectionsPerPeer = 8;
constexpr double forwardsPerCore = 512; // Requests of other gateways in progress; more would delay those of this one's callers.
constexpr double leastForwards = 32;

/// Longest wait of a call for a new configuration. Where keys can be taken away, several calls begin within the revocation time,
/// so that one that fails does not end the lease of keys.
duration configurationWait(duration revocationTime)
{
    constexpr int callsWithinRevocation = 5;
    const duration usual = table_follower_options().wait;
    return revocationTime > duration(0) ? std::min(usual, revocationTime / callsWithinRevocation) : usual;
}

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
        , m_board(reportRetention, m_hubs.reportTimeout())
        , m_registry(registryGrace)
        , m_scheduler(context, {.self = m_self, .placement = settings.placement, .seed = std::random_device{}()}, m_board)
        , m_versions({.context = context,
                      .store = m_platform.store,
                      .metrics = m_metrics,
                      .self = m_self,
                      .recordsService =
                          [this](const service_name &service) {
                              return m_slots.schedulingNodeFor(service, firstCellOf(service)) == m_self;
                          },
                      .refreshUpstreams =
                          [this] {
                              return m_replicaFollower->refresh();
                          },
                      .send =
                          [this](const node_id &to, const gateway_message &message) {
                              (void)m_exchange.send(to, message);
                          },
                      .sendToAll =
                          [this](const gateway_message &message) {
                              m_exchange.sendToAll(message);
                          }})
        , m_slots({.context = context,
                   .scheduler = m_scheduler,
                   .board = m_board,
                   .send =
                       [this](const node_id &to, const gateway_message &message) {
                           return m_exchange.send(to, message);
                       },
                   .versions = &m_versions,
                   .hubs = &m_hubs},
                  m_self,
                  settings.domain)
        , m_callers({.context = context,
                     .metrics = m_metrics,
                     .routes =
                         [this] {
                             return m_table;
                         },
                     .readConfiguration =
                         [this] {
                             return m_configurationFollower->refresh();
                         },
                     .isStoreLost =
                         [this] {
                             return !m_configurationFollower->available();
                         },
                     .othersRead =
                         [this] {
                             return m_board.mostAreReady();
                         }},
                    settings.revocationTime)
        , m_rates({.scheduler = m_scheduler, .slots = m_slots, .metrics = m_metrics, .self = m_self})
        , m_limits({.context = context,
                    .metrics = m_metrics,
                    .self = m_self,
                    .send =
                        [this](const node_id &to, const gateway_message &message) {
                            return m_exchange.send(to, message);
                        }},
                   settings.organisationLimits)
        , m_peerClient(context,
                       {.connectTimeout = peerConnectTimeout,
                        .idleConnectionsPerEndpoint = idleConnectionsPerPeer,
                        .unacknowledgedTimeout = std::chrono::seconds(2)})
        , m_paths({.context = context,
                   .client = upstreamClient,
                   .metrics = m_metrics,
                   .board = m_board,
                   .hubs = m_hubs,
                   .changed =
                       [this] {
                           m_exchange.requestReport();
                       }})
        , m_sender(upstreamClient, m_platform.protocol)
        , m_parts(m_metrics)
        , m_relay({.context = context,
                   .slots = m_slots,
                   .sender = m_sender,
                   .parts = m_parts,
                   .metrics = m_metrics,
                   .versions = &m_versions,
                   .maySend =
                       [this](const key_digest &key, const caller_id &holder, time_point now) {
                           return m_callers.maySend(key, holder, now);
                       },
                   .limits = &m_limits},
                  m_platform.protocol)
        , m_quarantine(std::make_shared<content_quarantine>(
              content_quarantine_ports{.context = context,
                                       .store = m_platform.store,
                                       .self = m_self,
                                       .quarantined =
                                           [this](time_point now) {
                                               return quarantined(now);
                                           },
                                       .locallyQuarantined =
                                           [this] {
                                               return locallyQuarantined();
                                           },
                                       .rowText =
                                           [this](std::uint64_t fingerprint) {
                                               return m_parts.rowText(fingerprint);
                                           },
                                       .quarantine =
                                           [this](std::uint64_t fingerprint, const std::string &text, time_point now) {
                                               quarantine(fingerprint, text, now);
                                           },
                                       .loaded =
                                           [this] {
                                               reachStep(start_step::StoppedContents, currentTime());
                                           },
                                       .withdraw =
                                           [this](std::uint64_t fingerprint) {
                                               m_relay.withdrawQuarantine(fingerprint);
                                           }}))
        , m_jobs(
              {.context = context, .store = m_platform.store, .slots = m_slots, .sender = m_sender, .parts = m_parts, .metrics = m_metrics},
              {.self = m_self})
        , m_exchange(
              context,
              {},
              [this] {
                  return ownLoad();
              },
              [this](const gateway_message &message) {
                  received(message);
              })
        , m_gateways(std::make_shared<gateway_registry>(gateway_registry_ports{.context = context,
                                                                               .store = m_platform.store,
                                                                               .self = m_self,
                                                                               .loaded =
                                                                                   [this] {
                                                                                       reachStep(start_step::Gateways, currentTime());
                                                                                   },
                                                                               .changed =
                                                                                   [this] {
                                                                                       gatewaysChanged();
                                                                                   },
                                                                               .registered =
                                                                                   [this] {
                                                                                       reachStep(start_step::Registered, currentTime());
                                                                                   }}))
        , m_housekeepingTimer(context)
        , m_loadChangeTimer(context)
    {
    }

    void start();
    void startForwarding();
    task<> leave(duration jobTime);
    void housekeep();
    void setCallerMetrics();

    [[nodiscard]] bool isReady() const
    {
        return m_table != nullptr && m_replicasLoaded && m_quarantine->isLoaded() && !m_shuttingDown;
    }

private:
    friend class gateway;

    std::shared_ptr<table_follower> follow(table_follower_options options, table_observer observer);
    [[nodiscard]] table_observer configurationObserver();
    [[nodiscard]] table_observer replicaObserver();
    void applyConfiguration(const table_row &row);
    void replicaChanged(const table_row &row);
    void recordHeartbeat(const replica &entry);
    void replicasChanged();
    void upstreamLeaves(const upstream_run &run, unsigned status);
    void recordRemoteLeaving(const node_load &load, time_point now);
    [[nodiscard]] upstream_cell firstCellOf(const service_name &service) const;
    void updateSchedulingState();
    void gatewaysChanged();
    std::vector<lost_content> lossesToReport(time_point now);
    [[nodiscard]] std::vector<quarantined_fingerprint> quarantined(time_point now) const;
    [[nodiscard]] std::set<std::uint64_t> locallyQuarantined() const;
    void quarantine(std::uint64_t fingerprint, const std::string &text, time_point now);
    void reportPlacement(time_point now);
    static void logPlacement(const placement_report &report);
    node_load ownLoad();
    void received(const gateway_message &message);
    void loadReported(const node_load &load);
    void reachStep(start_step step, time_point now);

    asio::io_context &m_context;
    gateway_settings m_settings;
    gateway_platform m_platform;
    node_id m_self;
    http_client &m_upstreamClient;
    node_metrics m_metrics;
    time_point m_placementReportedAt;
    std::map<service_name, bool> m_placedByCost; ///< By service, as last logged.
    report_hubs m_hubs;
    load_board m_board;
    replica_registry m_registry;
    scheduler_host m_scheduler;
    stream_versions m_versions;
    slot_broker m_slots;
    caller_admission m_callers;
    upstream_rates m_rates;
    organisation_gate m_limits;
    http_client m_peerClient;
    upstream_paths m_paths;
    std::optional<forward_service> m_forwards; ///< Set by start().
    client_memory *m_memory = nullptr;
    upstream_sender m_sender;
    part_watch m_parts;
    request_relay m_relay;
    std::shared_ptr<content_quarantine> m_quarantine;
    listed_job_service m_jobs;
    peer_exchange m_exchange;
    std::shared_ptr<gateway_registry> m_gateways;
    asio::steady_timer m_housekeepingTimer;
    asio::steady_timer m_loadChangeTimer;
    bool m_loadChangePending = false;
    time_point m_lastHousekeeping;
    start_steps m_startSteps{currentTime()};
    std::shared_ptr<const route_table> m_table;
    std::function<void(const serving_configuration &)> m_configurationHandler;
    std::set<upstream_key> m_registeredIncarnations; ///< Incarnations of upstreams.
    std::vector<std::pair<time_point, lost_content>> m_remoteLosses; ///< Losses to forward, with the time of their report.
    std::uint64_t m_sequence = 0;
    endpoint m_peerAddress;
    std::shared_ptr<table_follower> m_configurationFollower;
    bool m_newestUnreadable = false; ///< Whether the newest configuration is not in force because it cannot be read.
    std::uint64_t m_newestRowVersion = 0; ///< Of the configuration's row.
    std::shared_ptr<table_follower> m_replicaFollower;
    bool m_replicasLoaded = false;
    bool m_replicasChanged = false; ///< Whether rows of the current call for changes have changed the registry.
    time_point m_replicasChangedSince; ///< The changes of the current call were made then or later.
    bool m_storeLost = false;
    bool m_shuttingDown = false;
};

void gateway::implementation::start()
{
    m_lastHousekeeping = currentTime();
    m_sender.usePaths(m_paths, m_peerClient, m_self);
    startForwarding();
    m_peerAddress = m_forwards->address(); // The same for requests and, as datagrams, for messages.
    m_exchange.start(m_peerAddress);
    m_scheduler.onAddressReused([this](const upstream_id &upstream) {
        logEvent(log_level::Info, "upstream_address_reused", {{"upstream", upstream.text()}});
        m_registry.recordAddressReuse(upstream);
        replicasChanged();
    });
    m_sender.onUpstreamLeaves([this](const upstream_run &run, unsigned status) {
        upstreamLeaves(run, status);
    });
    m_sender.onRateStatement([this](const upstream_run &run, const answer_head &head) {
        if (m_rates.record(run, head, currentTime())) {
            m_exchange.requestReport();
        }
    });
    m_scheduler.onUsageChanged([this] {
        m_exchange.requestReport();
    });
    updateSchedulingState();
    m_configurationFollower =
        follow({.table = m_platform.configurationTable, .pause = configurationPause, .wait = configurationWait(m_settings.revocationTime)},
               configurationObserver());
    m_replicaFollower = follow({.table = m_platform.replicaTable, .pause = replicaPause}, replicaObserver());
    m_quarantine->start();
    m_versions.start();
    m_jobs.start();
    m_gateways->start({.id = m_self, .peerAddress = m_peerAddress, .processorShare = m_settings.processorShare});
    housekeep();
}

/// Begins to take requests of other gateways.
void gateway::implementation::startForwarding()
{
    const auto most = static_cast<std::size_t>(leastForwards + forwardsPerCore * m_settings.processorShare);
    m_forwards.emplace(forward_service_ports{.context = m_context,
                                             .client = m_upstreamClient,
                                             .paths = m_paths,
                                             .metrics = m_metrics,
                                             .find =
                                                 [this](const upstream_id &upstream) {
                                                     return m_scheduler.find(upstream);
                                                 }},
                       m_platform.protocol,
                       forward_service_options{.listen = m_settings.peerListen,
                                               .maximumRequests = most,
                                               .maximumConnections = shareDescriptors(m_settings.maximumDescriptors).others,
                                               .memory = m_memory});
    m_forwards->start();
}

std::shared_ptr<table_follower> gateway::implementation::follow(table_follower_options options, table_observer observer)
{
    auto follower = std::make_shared<table_follower>(m_context, m_platform.store, std::move(options), std::move(observer));
    asio::co_spawn(m_context, follower->run(), [follower](const std::exception_ptr &) {});
    return follower;
}

table_observer gateway::implementation::configurationObserver()
{
    table_observer observer;
    observer.onSnapshot = [this](const std::vector<table_row> &rows) {
        for (const table_row &row : rows) {
            applyConfiguration(row);
        }
    };
    observer.onChange = [this](const table_row &row) {
        applyConfiguration(row);
    };
    observer.onRead = [this](time_point begunAt) {
        if (!m_newestUnreadable) {
            m_callers.configurationRead(begunAt);
        }
    };
    return observer;
}

/// Applies a configuration if it is newer than the one in force.
void gateway::implementation::applyConfiguration(const table_row &row)
{
    if (row.name.key != m_platform.configurationKey || row.deleted) {
        return;
    }
    if (row.version < m_newestRowVersion) {
        return; // The answer to a call that another one has overtaken.
    }
    m_newestRowVersion = row.version;
    std::optional<serving_configuration> configuration = m_platform.decodeConfiguration(row, m_callers.digester());
    m_newestUnreadable = !configuration;
    if (!configuration) {
        logEvent(log_level::Error, "configuration_not_readable", {{"row_version", std::to_string(row.version)}});
        return;
    }
    const std::uint64_t versionInForce = m_table ? m_table->configuration().version : 0;
    if (m_table && configuration->version <= versionInForce) {
        return;
    }
    logEvent(log_level::Info,
             "configuration_in_force",
             {{"version", std::to_string(configuration->version)},
              {"before", std::to_string(versionInForce)},
              {"row_version", std::to_string(row.version)},
              {"routes", std::to_string(configuration->routes.size())},
              {"organisations", std::to_string(configuration->organisations.size())}});
    m_metrics.set("configuration_version", static_cast<double>(configuration->version));
    m_table = std::make_shared<const route_table>(std::move(*configuration));
    m_jobs.configure(m_table);
    m_limits.configure(m_table->configuration(), currentTime());
    reachStep(start_step::Configuration, currentTime());
    if (m_configurationHandler) {
        m_configurationHandler(m_table->configuration());
    }
}

table_observer gateway::implementation::replicaObserver()
{
    table_observer observer;
    observer.onSnapshot = [this](const std::vector<table_row> &rows) {
        std::vector<replica> registered;
        for (const table_row &row : rows) {
            if (std::optional<replica> entry = m_platform.decodeReplica(row)) {
                registered.push_back(std::move(*entry));
            } else {
                logEvent(log_level::Info, "upstream_row_unusable", {{"row", row.name.key}, {"version", std::to_string(row.version)}});
            }
        }
        m_registry.replaceAll(registered, currentTime());
        m_replicasLoaded = true;
        replicasChanged();
        updateSchedulingState();
        reachStep(start_step::Upstreams, currentTime());
    };
    observer.onChangesRead = [this](time_point since) {
        m_replicasChangedSince = since;
    };
    observer.onChange = [this](const table_row &row) {
        replicaChanged(row);
    };
    observer.onChangesApplied = [this] {
        // Most changed rows are heartbeats, which do not change the registry.
        if (std::exchange(m_replicasChanged, false)) {
            replicasChanged();
        }
    };
    observer.onLost = [this] {
        m_registry.storeLost();
        m_storeLost = true;
        updateSchedulingState();
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
        recordHeartbeat(*entry);
        return;
    }
    m_replicasChanged = true;
    logEvent(log_level::Info,
             row.deleted ? "upstream_gone" : "upstream_row_unusable",
             {{"row", row.name.key}, {"version", std::to_string(row.version)}});
    m_registry.recordRemoval(upstream_id(row.name.key), currentTime());
}

/// An upstream that has written its registration was running then: connections that were lost before were not lost by a crash.
void gateway::implementation::recordHeartbeat(const replica &entry)
{
    if (entry.startedAt == 0) {
        return; // A restart under the same id could not be told apart.
    }
    const upstream_key incarnation = keyOfStart(entry);
    m_relay.upstreamAlive(incarnation, m_replicasChangedSince);
    m_parts.recordAlive(incarnation, m_replicasChangedSince, currentTime());
}

void gateway::implementation::replicasChanged()
{
    const std::vector<replica> replicas = m_registry.replicas();
    std::set<upstream_key> incarnations;
    for (const replica &entry : replicas) {
        incarnations.insert(keyOfStart(entry));
    }
    for (const upstream_key incarnation : std::exchange(m_registeredIncarnations, incarnations)) {
        if (!incarnations.contains(incarnation)) {
            m_relay.upstreamEnded(incarnation, currentTime());
            m_parts.recordUpstreamEnd(incarnation, currentTime());
        }
    }
    m_versions.setUpstreams(replicas);
    m_scheduler.setUpstreams(replicas);
    m_paths.setUpstreams(replicas);
    m_rates.setUpstreams(replicas, currentTime());
    m_metrics.set("upstreams_leaving", static_cast<double>(m_registry.leavingCount()));
}

/// Records that an upstream reported to this node that it is leaving. This node sends it no new work, regardless of the store
/// and of other nodes.
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

upstream_cell gateway::implementation::firstCellOf(const service_name &service) const
{
    const std::uint32_t cells = cellCountFor(m_scheduler.upstreamsOf(service).size());
    return cells <= 1 ? upstream_cell() : upstream_cell{.index = 0, .count = cells};
}

/// Records which upstreams reported to another node that they are leaving, so that this node grants no more slots there.
void gateway::implementation::recordRemoteLeaving(const node_load &load, time_point now)
{
    bool changed = false;
    for (const upstream_key incarnation : load.leaving) {
        if (m_registry.recordLeaving(incarnation, true, now)) {
            changed = true;
            logEvent(log_level::Info, "upstream_leaving", {{"upstream_key", std::to_string(incarnation)}, {"told_by", load.sender.text()}});
        }
    }
    if (changed) {
        replicasChanged();
    }
}

/// Announces whether this node schedules the requests of its cells. While its list of upstreams may be outdated or while it
/// shuts down, it leaves them to other nodes.
void gateway::implementation::updateSchedulingState()
{
    const bool listUpToDate = m_replicasLoaded && !m_storeLost;
    const scheduling_state state = m_shuttingDown ? scheduling_state::ShuttingDown
                                   : listUpToDate ? scheduling_state::Ready
                                                  : scheduling_state::UpstreamsUncertain;
    if (state != m_slots.schedulingState()) {
        logEvent(log_level::Info, "placing_changed", {{"state", std::string(toString(state))}});
        m_slots.setSchedulingState(state);
        m_jobs.setOwnState(state);
        m_exchange.requestReport();
    }
}

void gateway::implementation::gatewaysChanged()
{
    std::set<node_id> registered;
    std::map<node_id, endpoint> peers;
    std::map<node_id, double> processorShares;
    std::vector<forwarder> forwarders;
    for (const auto &[key, entry] : m_gateways->gateways()) {
        registered.insert(entry.id);
        processorShares.emplace(entry.id, entry.processorShare);
        if (entry.peerAddress != m_peerAddress) {
            peers.emplace(entry.id, entry.peerAddress);
            forwarders.push_back({.node = entry.id, .address = entry.peerAddress, .processorShare = entry.processorShare});
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
    m_paths.setNodes(std::move(forwarders));
    m_jobs.setHubs(m_hubs);
    m_jobs.setRegistered(registered);
    m_gateways->setHubs(m_hubs, currentTime());
}

/// Losses that this node observed itself, and those received from nodes that are not hubs. The latter report to hubs only, so
/// that a hub has to forward their losses.
std::vector<lost_content> gateway::implementation::lossesToReport(time_point now)
{
    std::vector<lost_content> result = m_relay.recentlyLost(now);
    std::erase_if(m_remoteLosses, [&](const auto &loss) {
        return now - loss.first > request_relay::lossReportPeriod;
    });
    for (const auto &[at, lost] : m_remoteLosses) {
        result.push_back(lost);
    }
    return result;
}

/// All contents and prompt parts that this node rejects.
std::vector<quarantined_fingerprint> gateway::implementation::quarantined(time_point now) const
{
    std::vector<quarantined_fingerprint> result = m_relay.quarantinedContents(now);
    const std::vector<quarantined_fingerprint> parts = m_parts.guard().stopped(now);
    result.insert(result.end(), parts.begin(), parts.end());
    return result;
}

std::set<std::uint64_t> gateway::implementation::locallyQuarantined() const
{
    std::set<std::uint64_t> result = m_relay.locallyQuarantined();
    const std::set<std::uint64_t> &parts = m_parts.guard().locallyStopped();
    result.insert(parts.begin(), parts.end());
    return result;
}

void gateway::implementation::quarantine(std::uint64_t fingerprint, const std::string &text, time_point now)
{
    if (!m_parts.applyRow(fingerprint, text, now)) {
        m_relay.quarantineContent(fingerprint, now);
    }
}

/// Reports by which policy the services are placed, and how well their times are predicted.
void gateway::implementation::reportPlacement(time_point now)
{
    const auto seconds = [](duration value) {
        return std::chrono::duration<double>(value).count();
    };
    std::size_t byCost = 0;
    std::map<service_name, bool> policies;
    for (const placement_report &report : m_scheduler.scheduler().placement(now)) {
        byCost += report.byCost ? 1 : 0;
        const std::string prefix = "placement_" + report.service.text() + "_";
        m_metrics.set(prefix + "speed_spread", report.speedSpread);
        m_metrics.set(prefix + "expected_first_byte_seconds", seconds(report.expectedFirstByte));
        m_metrics.set(prefix + "measured_first_byte_seconds", seconds(report.measuredFirstByte));
        m_metrics.set(prefix + "first_byte_error_seconds", seconds(report.firstByteError));
        policies.emplace(report.service, report.byCost);
        const auto before = m_placedByCost.find(report.service);
        if (report.byCost != (before != m_placedByCost.end() && before->second)) {
            logPlacement(report);
        }
    }
    m_placedByCost = std::move(policies);
    m_metrics.set("services_placed_by_cost", static_cast<double>(byCost));
}

/// Logs a change of the policy with the speeds of the fastest and the slowest upstreams.
void gateway::implementation::logPlacement(const placement_report &report)
{
    std::string speeds;
    for (std::size_t index = 0; index < report.speeds.size(); ++index) {
        const bool isListed = index < loggedSpeeds || index + loggedSpeeds >= report.speeds.size();
        if (isListed) {
            speeds += (speeds.empty() ? "" : " ") + report.speeds[index].first.text() + "=" + std::to_string(report.speeds[index].second);
        }
    }
    logEvent(log_level::Info,
             "placement_changed",
             {{"service", report.service.text()},
              {"policy", report.byCost ? "expected_cost" : "least_runs"},
              {"speed_spread", std::to_string(report.speedSpread)},
              {"upstreams_measured", std::to_string(report.speeds.size())},
              {"time_factors", speeds},
              {"expected_first_byte_us", std::to_string(report.expectedFirstByte.count())},
              {"measured_first_byte_us", std::to_string(report.measuredFirstByte.count())},
              {"first_byte_error_us", std::to_string(report.firstByteError.count())}});
}

node_load gateway::implementation::ownLoad()
{
    const time_point now = currentTime();
    return {.sender = m_self,
            .sequence = ++m_sequence,
            .usage = m_scheduler.scheduler().usage(now),
            .schedulingState = m_slots.schedulingState(),
            .waitingOnline = m_scheduler.scheduler().waitingByService(),
            .lost = lossesToReport(now),
            .leaving = m_registry.locallyObservedLeaving(),
            .lostParts = m_parts.guard().lossesToReport(now),
            .provenParts = m_parts.guard().proofsToReport(now),
            .limits = m_rates.limitsToReport(now),
            .leases = m_rates.leasesToReport(now),
            .pools = m_limits.report(m_sequence, now),
            .unreachable = m_paths.unreachable(),
            .reachesNone = m_paths.reachesNone(),
            .forwards = static_cast<std::uint32_t>(m_forwards ? m_forwards->inProgress() : 0),
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
    } else if (const auto *const query = std::get_if<origin_query>(&message)) {
        m_versions.received(*query);
    } else if (const auto *const origins = std::get_if<origin_row>(&message)) {
        m_versions.received(*origins);
    } else if (const auto *const ask = std::get_if<credit_ask>(&message)) {
        m_limits.received(*ask);
    } else if (const auto *const grant = std::get_if<credit_grant>(&message)) {
        m_limits.received(*grant);
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
    m_jobs.recordReport(load.sender, now, load.schedulingState);
    m_gateways->recordReport(load.sender, now);
    m_slots.reported(load);
    recordRemoteLeaving(load, now);
    m_rates.recordReport(load, now);
    m_limits.recordReport(load, m_hubs.isHub(load.sender), now);
    for (const lost_content &lost : load.lost) {
        m_relay.recordRemoteLoss(lost, load.sender, now);
        if (!m_hubs.isHub(load.sender) && m_remoteLosses.size() < maximumRemoteLosses) {
            m_remoteLosses.emplace_back(now, lost);
        }
    }
    m_parts.recordReport(load.lostParts, load.provenParts, load.sender.text(), !m_hubs.isHub(load.sender), now);
    if (!std::exchange(m_loadChangePending, true)) {
        m_loadChangeTimer.expires_after(loadChangeDelay);
        m_loadChangeTimer.async_wait([self = shared_from_this()](const boost::system::error_code &) {
            self->m_loadChangePending = false;
            self->m_rates.apply(currentTime());
            self->m_scheduler.loadChanged();
        });
    }
}

/// Records a step of the start, and that the gateway is ready once nothing is missing any more.
void gateway::implementation::reachStep(start_step step, time_point now)
{
    if (!m_startSteps.reach(step, now)) {
        return;
    }
    const double seconds = std::chrono::duration<double>(*m_startSteps.taken(step)).count();
    m_metrics.set("start_" + std::string(toString(step)) + "_seconds", seconds);
    if (step == start_step::Ready || step == start_step::FirstAnswer) {
        const auto taken = [this](start_step reached) {
            const std::optional<duration> time = m_startSteps.taken(reached);
            return time ? std::to_string(time->count()) : std::string();
        };
        logEvent(log_level::Info,
                 step == start_step::Ready ? "gateway_ready" : "gateway_serves",
                 {{"configuration_us", taken(start_step::Configuration)},
                  {"upstreams_us", taken(start_step::Upstreams)},
                  {"stopped_contents_us", taken(start_step::StoppedContents)},
                  {"gateways_us", taken(start_step::Gateways)},
                  {"registered_us", taken(start_step::Registered)},
                  {"ready_us", taken(start_step::Ready)},
                  {"first_answer_us", taken(start_step::FirstAnswer)}});
    }
    if (isReady()) {
        reachStep(start_step::Ready, now);
    }
}

/// Tells by caller what became of the runs that this node schedules.
void gateway::implementation::setCallerMetrics()
{
    for (const auto &[caller, count] : m_scheduler.scheduler().callerCounts().all()) {
        const std::string prefix = "caller_" + (caller == caller_counts::others ? "others" : std::to_string(caller)) + "_";
        m_metrics.setTotal(prefix + "asked", count.asked);
        m_metrics.setTotal(prefix + "granted", count.granted);
        m_metrics.setTotal(prefix + "waited_ms",
                           static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(count.waited).count()));
        for (const auto &[reason, refusals] : count.refused) {
            m_metrics.setTotal(prefix + "refused_" + std::string(toString(reason)), refusals);
        }
    }
}

void gateway::implementation::housekeep()
{
    const time_point now = currentTime();
    if (const std::optional<time_point> answered = m_relay.firstAnswerAt()) {
        reachStep(start_step::FirstAnswer, *answered);
    }
    if (now - m_lastHousekeeping > housekeepingInterval + suspensionThreshold) {
        logEvent(log_level::Warning, "process_was_suspended", {{"for_us", std::to_string((now - m_lastHousekeeping).count())}});
        m_gateways->resumed(now);
    }
    m_lastHousekeeping = now;
    m_board.expire(now);
    m_slots.handleLostNodes();
    m_gateways->housekeep(now);
    m_quarantine->housekeep(now);
    m_callers.housekeep(now);
    m_versions.housekeep();
    if (m_registry.tick(now)) {
        replicasChanged();
    }
    // A node that has just started reports before the others have read its registration.
    const std::size_t live = m_board.nodes().size() + 1;
    const std::size_t gateways = m_gateways->gateways().empty() ? 0 : std::max(m_gateways->sharing(now), live);
    m_rates.setNodes(gateways, m_hubs.reportTimeout());
    m_limits.setNodes(gateways, m_hubs.reportTimeout(), m_hubs.isHub(m_self) && !m_shuttingDown);
    m_limits.housekeep(now);
    m_rates.apply(now);
    m_metrics.set("stopped_parts", static_cast<double>(m_parts.guard().stopped(now).size()));
    m_metrics.set("requests_in_progress", static_cast<double>(m_relay.inProgress()));
    m_metrics.set("jobs_coordinated", static_cast<double>(m_jobs.running()));
    if (m_table) {
        const std::size_t share = idleConnectionShare(m_table->configuration(), std::max(live, m_gateways->gateways().size()));
        m_upstreamClient.setIdleConnectionsPerEndpoint(std::min(share, http_client_options().idleConnectionsPerEndpoint));
    }
    if (now - m_placementReportedAt >= placementReportInterval) {
        m_placementReportedAt = now;
        reportPlacement(now);
    }
    m_metrics.set("live_nodes", static_cast<double>(live));
    m_metrics.set("registered_gateways", static_cast<double>(m_gateways->gateways().size()));
    m_metrics.setTotal("upstream_connections_opened", m_upstreamClient.connectionsOpened());
    setCallerMetrics();
    m_housekeepingTimer.expires_after(housekeepingInterval);
    m_housekeepingTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->housekeep();
        }
    });
}

task<> gateway::implementation::leave(duration jobTime)
{
    co_await m_jobs.handOver(jobTime);
    co_await m_gateways->leave();
}

gateway::gateway(asio::io_context &context, const gateway_settings &settings, gateway_platform platform, http_client &upstreamClient)
    : m_implementation(std::make_shared<implementation>(context, settings, std::move(platform), upstreamClient))
{
}

gateway::~gateway() = default;

void gateway::limitMemory(client_memory &memory)
{
    m_implementation->m_memory = &memory;
    m_implementation->m_sender.limitMemory(memory);
    m_implementation->m_jobs.limitMemory(memory);
}

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
    if (m_implementation->m_shuttingDown) {
        return "stopping";
    }
    if (m_implementation->m_table == nullptr) {
        return "no configuration";
    }
    if (!m_implementation->m_replicasLoaded) {
        return "no list of upstreams";
    }
    return m_implementation->m_quarantine->isLoaded() ? "ready" : "no list of stopped contents";
}

std::shared_ptr<const route_table> gateway::routes() const
{
    return m_implementation->m_table;
}

std::size_t gateway::forwardsInProgress() const
{
    return m_implementation->m_forwards ? m_implementation->m_forwards->inProgress() : 0;
}

caller_admission &gateway::callers()
{
    return m_implementation->m_callers;
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

void gateway::beginShutdown()
{
    m_implementation->m_shuttingDown = true;
    m_implementation->m_gateways->beginShutdown();
    if (m_implementation->m_forwards) {
        m_implementation->m_forwards->beginShutdown();
    }
    m_implementation->updateSchedulingState();
}

task<> gateway::leave(duration jobTime)
{
    return m_implementation->leave(jobTime);
}

} // namespace banyan
