#include "banyan/io/banyan_node.h"

#include "banyan/core/audit_record.h"
#include "banyan/core/batch_item.h"
#include "banyan/core/configuration_history.h"
#include "banyan/core/job_summary.h"
#include "banyan/core/patch_result.h"
#include "banyan/core/placement.h"
#include "banyan/io/batch_api.h"
#include "banyan/io/caller_api.h"
#include "banyan/io/cell_host.h"
#include "banyan/io/clock.h"
#include "banyan/io/configuration_service.h"
#include "banyan/io/error_answers.h"
#include "banyan/io/explain_log.h"
#include "banyan/io/file_service.h"
#include "banyan/io/fleet_counters.h"
#include "banyan/io/fleet_service.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_server.h"
#include "banyan/io/job_service.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/openai_error.h"
#include "banyan/io/operator_api.h"
#include "banyan/io/peer_error.h"
#include "banyan/io/peer_handlers.h"
#include "banyan/io/peer_rpc.h"
#include "banyan/io/platform_client.h"
#include "banyan/io/record_service.h"
#include "banyan/io/recorded_run.h"
#include "banyan/io/request_refused.h"
#include "banyan/io/request_router.h"
#include "banyan/io/store_port.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace banyan {

namespace {

constexpr std::size_t explainedRequests = 5000;
constexpr std::size_t listedJobs = 1000;
constexpr std::size_t copiesOfResult = 1; // Other nodes that hold a result which the store does not take.
constexpr duration balancerLag = std::chrono::seconds(2); // Between readiness going off and the last new connection.
constexpr duration drainPollInterval = std::chrono::milliseconds(50);
constexpr duration lastAnswersTime = std::chrono::milliseconds(200); // For answers to other nodes to leave.
constexpr duration stopReserve = std::chrono::seconds(5); // Of the drain timeout, for committing and giving leases back.

std::uint64_t randomNumber()
{
    std::random_device source;
    return (std::uint64_t(source()) << 32U) | source();
}

std::string hexText(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
    return text;
}

node_info makeSelf(const node_settings &settings, const endpoint &peerAddress)
{
    return {.id = node_id(settings.vm.text() + "-" + hexText(randomNumber())),
            .vm = settings.vm,
            .domain = settings.domain,
            .peerAddress = peerAddress};
}

http_response plainAnswer(unsigned status, const std::string &text)
{
    return {.status = status, .fields = {{"Content-Type", "text/plain; charset=utf-8"}}, .body = text};
}

} // namespace

class banyan_node::implementation
{
public:
    implementation(asio::io_context &context, node_settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_client(context, {})
        , m_platform(m_client, {.address = m_settings.platform})
        , m_history({})
        , m_peers(context, {.listen = m_settings.peerListen, .secret = m_settings.fleetSecret})
        , m_callerServer(context, {.listen = m_settings.callerListen})
        , m_operatorServer(context, {.listen = m_settings.operatorListen})
        , m_timer(context)
    {
    }

    void start()
    {
        m_peers.start(peerHandlers());
        m_self = makeSelf(m_settings, m_peers.address());
        makeFleet();
        makeDispatch();
        makeDurable();
        makeInterfaces();
        m_fleet->onChange([this] {
            viewChanged();
        });
        m_fleet->start();
        m_configurations->start();
        m_records->start();
        m_jobs->start();
        m_callerServer.start();
        m_operatorServer.start();
        logEvent(log_level::Info,
                 "started",
                 {{"node", m_self.id.text()},
                  {"failure_domain", m_self.domain.text()},
                  {"caller_address", m_callerServer.address().toString()},
                  {"operator_address", m_operatorServer.address().toString()},
                  {"peer_address", m_self.peerAddress.toString()}});
    }

    task<> stop()
    {
        if (m_draining) {
            co_return;
        }
        m_draining = true;
        const time_point until = currentTime() + m_settings.drainTimeout;
        logEvent(log_level::Info, "drain_started", {{"in_progress", std::to_string(inProgress())}});
        m_fleet->leave();
        co_await pause(balancerLag);
        m_refusing = true;
        m_callerServer.stopAccepting();
        m_cells->drain();
        co_await m_jobs->drain(m_settings.drainTimeout / 2);
        co_await waitForWork(until - stopReserve);
        co_await m_records->stop(until);
        m_fleet->announceDeparture();
        logEvent(log_level::Info, "drain_ended", {{"left", std::to_string(inProgress())}});
        m_jobs->stop();
        m_configurations->stop();
        m_fleet->stop();
        co_await pause(lastAnswersTime);
        m_operatorServer.stopAccepting();
        m_peers.stop();
    }

    [[nodiscard]] endpoint callerAddress() const
    {
        return m_callerServer.address();
    }

    [[nodiscard]] endpoint operatorAddress() const
    {
        return m_operatorServer.address();
    }

    [[nodiscard]] endpoint peerAddress() const
    {
        return m_self.peerAddress;
    }

    void onDrainRequested(std::function<void()> handler)
    {
        m_drainHandler = std::move(handler);
    }

private:
    void makeFleet()
    {
        const fleet_service_options fleetOptions{.self = m_self,
                                                 .secret = m_settings.fleetSecret,
                                                 .seeds = m_settings.peers,
                                                 .fetchListFromPeer =
                                                     [this](const node_info &peer) {
                                                         return m_peers.vmList(peer.peerAddress);
                                                     },
                                                 .seed = randomNumber()};
        m_fleet.emplace(m_context, m_platform, m_history, fleetOptions);
        configuration_service_options options;
        options.seed = randomNumber();
        options.fetchFromPeer = [this](const node_info &peer, configuration_version version) {
            return m_peers.configurationSince(peer.peerAddress, version);
        };
        m_configurations.emplace(m_context, m_platform, *m_fleet, m_history, std::move(options));
        m_configurations->onChange([this](const std::shared_ptr<const configuration> &current) {
            m_metrics.set("configuration_version", static_cast<double>(current->version));
            logEvent(log_level::Info, "configuration_in_force", {{"version", std::to_string(current->version)}});
        });
    }

    void makeDispatch()
    {
        cell_host_options hostOptions;
        hostOptions.dispatcher.seed = randomNumber();
        hostOptions.recordStart = [this](std::string key, std::uint64_t fencingNumber, const std::string &attempt) {
            return m_records->recordStart(std::move(key), fencingNumber, m_self.id.text() + "/" + attempt);
        };
        hostOptions.onContentStopped = [this, memory = hostOptions.dispatcher.quarantineDuration](std::uint64_t fingerprint) {
            asio::co_spawn(m_context, tellStopped(fingerprint, memory), asio::detached);
        };
        m_cells.emplace(m_context, m_client, m_metrics, std::move(hostOptions));
        request_router_options options;
        options.self = m_self;
        options.seed = randomNumber();
        options.runHere = [this](cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation) {
            return m_cells->run(std::move(cell), std::move(request), std::move(sink), std::move(cancellation));
        };
        options.runAt = [this](const node_info &node,
                               cell_id cell,
                               run_request request,
                               answer_sink sink,
                               std::shared_ptr<run_cancellation> cancellation) {
            return m_peers.run(node.peerAddress, std::move(cell), std::move(request), std::move(sink), std::move(cancellation));
        };
        m_router.emplace(m_context, std::move(options));
    }

    void makeDurable()
    {
        record_service_options options;
        options.node = m_self.id;
        options.keepCopy = [this](std::string key, std::string result) {
            return keepCopies(std::move(key), std::move(result));
        };
        options.forgetCopy = [this](std::string key) {
            return forgetCopies(std::move(key));
        };
        options.poolOf = [this](const service_name &service) {
            return currentPoolOf(service);
        };
        m_records.emplace(m_context, m_platform, m_router->runner(), std::move(options));
        const store_port port = platformPort(m_context, m_platform);
        m_files.emplace(port, file_service_options());
        m_jobs.emplace(m_context, port, *m_files, jobHooks(), job_service_options{.seed = randomNumber()});
    }

    /// The pool of a service under the configuration in force; none without the service, or without a configuration.
    [[nodiscard]] std::optional<pool_name> currentPoolOf(const service_name &service) const
    {
        const std::shared_ptr<const configuration> current = m_configurations->current();
        if (!current) {
            return std::nullopt;
        }
        const auto found = current->services.find(service);
        return found == current->services.end() ? std::nullopt : std::optional(found->second.pool);
    }

    job_service_hooks jobHooks()
    {
        job_service_hooks hooks;
        hooks.run = m_router->runner();
        hooks.buildRequest = [this](const caller_id &caller, const batch_item &item) {
            return buildItemRequest(caller, item);
        };
        hooks.self = m_self;
        hooks.nodes = [this] {
            return m_fleet->nodes();
        };
        return hooks;
    }

    /// Makes the request of a batch item under the configuration in force. @throws item_rejected
    run_request buildItemRequest(const caller_id &caller, const batch_item &item)
    {
        const std::shared_ptr<const configuration> current = m_configurations->current();
        if (!current) {
            throw std::runtime_error("expected a configuration, found none yet"); // The job tries the item again.
        }
        caller_request request{.caller = caller, .method = item.method, .target = item.url, .body = item.body};
        request.workClass = work_class::Batch;
        try {
            return resolveRequest(*current, request, currentTime()).run;
        } catch (const request_refused &refusal) {
            throw item_rejected(refusal.code(), refusal.what());
        }
    }

    void makeInterfaces()
    {
        m_callerApi.emplace(caller_api_options{.currentConfiguration =
                                                   [this] {
                                                       return m_configurations->current();
                                                   },
                                               .draining =
                                                   [this] {
                                                       return m_refusing;
                                                   },
                                               .router = *m_router,
                                               .records = *m_records,
                                               .metrics = m_metrics,
                                               .explanations = m_explanations,
                                               .maximumBody = m_settings.maximumBody});
        m_callerApi->addRoutes(m_callerServer);
        addBatchRoutes(m_callerServer, *m_files, *m_jobs, [this](http_exchange &exchange) {
            return m_callerApi->identify(exchange);
        });
        m_operatorApi.emplace(operator_api_options{.bootstrapKeyHash = m_settings.bootstrapOperatorKeyHash, .hooks = operatorHooks()});
        m_operatorApi->addRoutes(m_operatorServer);
        addHealthRoutes(m_callerServer);
        addHealthRoutes(m_operatorServer);
        m_operatorServer.route("GET", "/metrics", [this](http_exchange &exchange) -> task<> {
            refreshGauges();
            http_response answer = plainAnswer(200, m_metrics.text());
            co_await exchange.respond(std::move(answer));
        });
    }

    void addHealthRoutes(http_server &server)
    {
        server.route("GET", "/healthz", [](http_exchange &exchange) -> task<> {
            http_response answer = plainAnswer(200, "ok\n");
            co_await exchange.respond(std::move(answer));
        });
        server.route("GET", "/readyz", [this](http_exchange &exchange) -> task<> {
            http_response answer = isReady() ? plainAnswer(200, "ready\n") : plainAnswer(503, m_draining ? "draining\n" : "not ready\n");
            co_await exchange.respond(std::move(answer));
        });
    }

    operator_api_hooks operatorHooks()
    {
        operator_api_hooks hooks;
        hooks.currentConfiguration = [this] {
            return m_configurations->current();
        };
        hooks.submitPatch = [this](patch_request request) {
            return m_configurations->submitPatch(std::move(request));
        };
        hooks.readAudit = [this](audit_filter filter) {
            return m_configurations->readAudit(std::move(filter));
        };
        hooks.upstreams = [this] {
            return listUpstreams();
        };
        hooks.listJobs = [this](std::optional<caller_id> caller) {
            return m_jobs->listAll(std::move(caller), listedJobs);
        };
        hooks.findJob = [this](job_id job) {
            return findJob(std::move(job));
        };
        hooks.cancelJob = [this](job_id job, operator_id author) {
            return cancelJob(std::move(job), std::move(author));
        };
        hooks.status = [this] {
            return status();
        };
        hooks.drain = [this](operator_id author) {
            return requestDrain(std::move(author));
        };
        hooks.explain = [this](request_id id) -> task<std::optional<request_explanation>> {
            co_return m_explanations.find(id);
        };
        return hooks;
    }

    task<std::optional<job_summary>> findJob(job_id job)
    {
        try {
            co_return co_await m_jobs->showAny(std::move(job));
        } catch (const openai_error &error) {
            if (error.details().status != 404) {
                throw;
            }
        }
        co_return std::nullopt;
    }

    task<job_cancel_result> cancelJob(job_id job, operator_id author)
    {
        job_cancel_result result = job_cancel_result::Cancelled;
        try {
            co_await m_jobs->cancelAny(job);
        } catch (const openai_error &error) {
            const unsigned status = error.details().status;
            result = status == 404 ? job_cancel_result::NotFound
                                   : (status == 409 ? job_cancel_result::AlreadyEnded : job_cancel_result::StoreUnavailable);
        }
        if (result == job_cancel_result::Cancelled) {
            audit_record record{.time = currentTime(), .kind = "job_cancel", .actor = std::move(author), .what = job.text()};
            co_await m_configurations->recordAudit(std::move(record));
        }
        co_return result;
    }

    task<> requestDrain(operator_id author)
    {
        audit_record record{.time = currentTime(), .kind = "drain", .actor = std::move(author), .what = m_self.id.text()};
        co_await m_configurations->recordAudit(std::move(record));
        if (m_drainHandler) {
            m_drainHandler();
        }
    }

    /// The upstreams of the platform's list, with what this node's dispatchers know of theirs.
    [[nodiscard]] std::vector<upstream_report> listUpstreams() const
    {
        std::map<upstream_id, upstream_report> reports;
        for (const vm_entry &vm : m_fleet->vms()) {
            if (vm.role == vm_role::Upstream) {
                const upstream_id id(vm.id.text());
                reports[id] = {
                    .id = id, .pool = vm.pool, .domain = vm.domain, .address = vm.address, .leaving = vm.state == vm_state::Leaving};
            }
        }
        for (const auto &[cell, upstreams] : assignCells(m_fleet->vms())) {
            const std::optional<node_info> owner = ownerOf(cell, m_fleet->nodes());
            for (const upstream_info &upstream : upstreams) {
                reports[upstream.id].dispatcher = owner ? owner->id : node_id();
            }
        }
        for (const upstream_report &dispatched : m_cells->upstreams()) {
            if (const auto found = reports.find(dispatched.id); found != reports.end()) {
                found->second.ejected = dispatched.ejected;
                found->second.limit = dispatched.limit;
                found->second.firstByte = dispatched.firstByte;
                found->second.inFlight = dispatched.inFlight;
            }
        }
        std::vector<upstream_report> result;
        result.reserve(reports.size());
        for (auto &[id, report] : reports) {
            result.push_back(std::move(report));
        }
        return result;
    }

    [[nodiscard]] node_status status() const
    {
        const std::shared_ptr<const configuration> current = m_configurations->current();
        return {.vm = m_self.vm,
                .node = m_self.id,
                .domain = m_self.domain,
                .version = current ? current->version : 0,
                .ready = isReady(),
                .draining = m_draining,
                .platformReachable = m_records->storeAvailable(),
                .liveNodes = m_fleet->nodes().size(),
                .requestsInProgress = inProgress()};
    }

    [[nodiscard]] bool isReady() const
    {
        const std::shared_ptr<const configuration> current = m_configurations->current();
        return !m_draining && current && current->version > 0 && !m_fleet->vms().empty();
    }

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_callerServer.inProgress() + m_cells->inProgress();
    }

    cell_runner cellRunner()
    {
        return [this](cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation) {
            return m_cells->run(std::move(cell), std::move(request), std::move(sink), std::move(cancellation));
        };
    }

    peer_handlers peerHandlers()
    {
        peer_handlers handlers;
        handlers.run = [this](cell_id cell, run_request request, answer_sink sink, std::shared_ptr<run_cancellation> cancellation) {
            return runForPeer(cellRunner(), *m_records, std::move(cell), std::move(request), std::move(sink), std::move(cancellation));
        };
        handlers.configurationSince = [this](configuration_version version) {
            return m_configurations->updateSince(version);
        };
        handlers.vmList = [this] {
            return m_fleet->vms();
        };
        handlers.keepResult = [this](const std::string &key, const std::string &result) {
            m_records->keepResultFor(key, result);
        };
        handlers.forgetResult = [this](const std::string &key) {
            m_records->forgetResultFor(key);
        };
        handlers.stopFingerprint = [this](std::uint64_t fingerprint, duration remaining) {
            m_cells->stopFingerprint(fingerprint, currentTime() + remaining);
        };
        handlers.onRefused = [this] {
            m_metrics.count("peer_call_refused");
            logEvent(log_level::Warning, "peer_call_refused");
        };
        return handlers;
    }

    void viewChanged()
    {
        const std::vector<node_info> nodes = m_fleet->nodes();
        m_cells->setVms(m_fleet->vms());
        m_router->setView(m_fleet->vms(), nodes);
        std::vector<node_id> names;
        names.reserve(nodes.size());
        for (const node_info &node : nodes) {
            names.push_back(node.id);
        }
        m_records->setLiveNodes(names);
        dropLostNodes();
    }

    /// Ends the calls to nodes that are not reachable any more, so that their requests go on elsewhere.
    void dropLostNodes()
    {
        std::set<endpoint> reachable;
        for (const node_info &node : m_fleet->reachableNodes()) {
            reachable.insert(node.peerAddress);
        }
        for (const endpoint &known : m_reachable) {
            if (!reachable.contains(known)) {
                logEvent(log_level::Warning, "node_calls_dropped", {{"peer_address", known.toString()}});
                m_peers.drop(known);
            }
        }
        m_reachable = std::move(reachable);
    }

    /// Other nodes that hold copies of results, of other failure domains where there are such.
    [[nodiscard]] std::vector<node_info> copyHolders() const
    {
        std::vector<node_info> candidates = m_fleet->nodes();
        std::erase_if(candidates, [this](const node_info &node) {
            return node.id == m_self.id;
        });
        std::stable_sort(candidates.begin(), candidates.end(), [this](const node_info &left, const node_info &right) {
            return (left.domain != m_self.domain) > (right.domain != m_self.domain);
        });
        candidates.resize(std::min(candidates.size(), copiesOfResult));
        return candidates;
    }

    /// Tells the other nodes of a content that crashes upstreams, so that it is refused wherever it is sent again.
    task<> tellStopped(std::uint64_t fingerprint, duration remaining)
    {
        logEvent(log_level::Warning, "content_stopped", {{"fingerprint", hexText(fingerprint)}});
        m_cells->stopFingerprint(fingerprint, currentTime() + remaining);
        for (const node_info &node : m_fleet->nodes()) {
            if (node.id == m_self.id) {
                continue;
            }
            try {
                co_await m_peers.stopFingerprint(node.peerAddress, fingerprint, remaining);
            } catch (const peer_error &error) {
                logEvent(log_level::Warning, "node_not_told", {{"node", node.id.text()}, {"error", error.what()}});
            }
        }
    }

    task<> keepCopies(std::string key, std::string result)
    {
        for (const node_info &holder : copyHolders()) {
            co_await m_peers.keepResult(holder.peerAddress, key, result);
            m_copies[key].push_back(holder.peerAddress);
        }
    }

    task<> forgetCopies(std::string key)
    {
        const auto found = m_copies.find(key);
        if (found == m_copies.end()) {
            co_return;
        }
        const std::vector<endpoint> holders = std::move(found->second);
        m_copies.erase(found);
        for (const endpoint &holder : holders) {
            co_await m_peers.forgetResult(holder, key);
        }
    }

    void refreshGauges()
    {
        m_metrics.set("requests_in_progress", static_cast<double>(inProgress()));
        m_metrics.set("live_nodes", static_cast<double>(m_fleet->nodes().size()));
        m_metrics.set("store_available", m_records->storeAvailable() ? 1 : 0);
        m_metrics.set("records_in_progress", static_cast<double>(m_records->inProgress()));
        m_metrics.set("stopped_contents", static_cast<double>(m_cells->stoppedContents()));
        m_metrics.set("jobs_coordinated", static_cast<double>(m_jobs->coordinated()));
        refreshDispatchTotals();
        refreshFleetTotals();
    }

    void refreshDispatchTotals()
    {
        const dispatcher_counters total = m_cells->counters();
        m_metrics.setTotal("first_attempts", total.firstAttempts);
        m_metrics.setTotal("retries", total.retries);
        m_metrics.setTotal("retries_denied", total.retriesDenied);
        m_metrics.setTotal("hedges", total.hedges);
        m_metrics.setTotal("hedges_chosen", total.hedgesChosen);
        m_metrics.setTotal("batch_preempted", total.preempted);
        m_metrics.setTotal("upstream_ejections", total.ejections);
        m_metrics.setTotal("contents_stopped", total.contentsQuarantined);
    }

    void refreshFleetTotals()
    {
        const fleet_counters total = m_fleet->counters();
        m_metrics.setTotal("gossip_messages_sent", total.messagesSent);
        m_metrics.setTotal("gossip_bytes_sent", total.bytesSent);
        m_metrics.setTotal("gossip_messages_received", total.messagesReceived);
        m_metrics.setTotal("gossip_bytes_received", total.bytesReceived);
        m_metrics.setTotal("gossip_dropped_unauthenticated", total.droppedUnauthenticated);
        m_metrics.setTotal("gossip_dropped_malformed", total.droppedMalformed);
        m_metrics.setTotal("suspicions_raised", total.suspicionsRaised);
        m_metrics.setTotal("deaths_declared", total.deathsDeclared);
    }

    task<> pause(duration time)
    {
        m_timer.expires_after(time);
        co_await m_timer.async_wait(asio::use_awaitable);
    }

    task<> waitForWork(time_point until)
    {
        while (inProgress() > 0 && currentTime() < until) {
            co_await pause(drainPollInterval);
        }
    }

    asio::io_context &m_context;
    node_settings m_settings;
    node_info m_self;
    node_metrics m_metrics;
    explain_log m_explanations{explainedRequests};
    http_client m_client;
    platform_client m_platform;
    configuration_history m_history;
    peer_rpc m_peers;
    std::optional<fleet_service> m_fleet;
    std::optional<configuration_service> m_configurations;
    std::optional<cell_host> m_cells;
    std::optional<request_router> m_router;
    std::optional<record_service> m_records;
    std::optional<file_service> m_files;
    std::optional<job_service> m_jobs;
    std::optional<caller_api> m_callerApi;
    std::optional<operator_api> m_operatorApi;
    http_server m_callerServer;
    http_server m_operatorServer;
    asio::steady_timer m_timer;
    std::set<endpoint> m_reachable;
    std::map<std::string, std::vector<endpoint>> m_copies; ///< Holders of copies by record key.
    std::function<void()> m_drainHandler;
    bool m_draining = false; ///< Not ready; other nodes take the cells over.
    bool m_refusing = false; ///< New requests are refused as well.
};

banyan_node::banyan_node(asio::io_context &context, node_settings settings)
    : m_implementation(std::make_unique<implementation>(context, std::move(settings)))
{
}

banyan_node::~banyan_node() = default;

void banyan_node::start()
{
    m_implementation->start();
}

task<> banyan_node::stop()
{
    return m_implementation->stop();
}

endpoint banyan_node::callerAddress() const
{
    return m_implementation->callerAddress();
}

endpoint banyan_node::operatorAddress() const
{
    return m_implementation->operatorAddress();
}

endpoint banyan_node::peerAddress() const
{
    return m_implementation->peerAddress();
}

void banyan_node::onDrainRequested(std::function<void()> handler)
{
    m_implementation->onDrainRequested(std::move(handler));
}

} // namespace banyan
