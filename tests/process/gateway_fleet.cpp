#include "gateway_fleet.h"

#include "eventually.h"
#include "test_connection.h"

#include <algorithm>
#include <stdexcept>

namespace banyan::process_tests {

namespace json = boost::json;

namespace {

const std::string host = "test"; // As the test connection names it.

json::object routeJson(const std::string &name, const std::string &kind, std::chrono::milliseconds gapTarget)
{
    return {{"name", name},
            {"host", host},
            {"path_prefix", "/" + name + "/"},
            {"kind", kind},
            {"timeout_ms", 5000},
            {"target_latency_ms", 500},
            {"gap_target_ms", gapTarget.count()},
            {"priority", 0},
            {"service", "s"},
            {"max_attempts", 3},
            {"resumable", true},
            {"completion_window_ms", 18000},
            {"retention_s", 60}};
}

} // namespace

struct gateway_fleet::gateway_process
{
    std::unique_ptr<child_process> process;
    std::string settingsFile;
    endpoint callers;
    endpoint readiness;
    endpoint metrics;
};

gateway_fleet::gateway_fleet(const options &wanted)
    : m_route(wanted.route)
    , m_storeRoute(wanted.storeRoute)
    , m_program(wanted.program)
    , m_replicaArguments(wanted.replicaArguments)
    , m_settings(wanted.settings)
    , m_requiresKeys(!wanted.keys.empty())
    , m_maximumBody(wanted.maximumBody)
    , m_slots(wanted.slots)
    , m_gapTarget(wanted.gapTarget)
{
    m_store = std::make_unique<child_process>(child_process::options{.program = "tests/store_standin"});
    m_storeAddress = endpoint::parse(m_store->readyValue("address"));
    m_storeForGateways = m_route ? m_route(m_storeAddress) : m_storeAddress;
    configure(1, wanted.keys);
    for (std::size_t index = 0; index < wanted.replicas; ++index) {
        startReplica(index < wanted.versions.size() ? wanted.versions[index] : "");
        if (index + wanted.unregistered < wanted.replicas) {
            registerReplica(index);
        }
    }
    for (std::size_t index = 0; index < wanted.gateways; ++index) {
        startGateway();
    }
    for (std::size_t index = 0; index < wanted.gateways; ++index) {
        waitUntilReady(index);
    }
}

std::size_t gateway_fleet::startReplica(const std::string &version)
{
    const std::size_t index = m_replicas.size();
    std::vector<std::string> arguments = {"--id", "replica-" + std::to_string(index), "--slots", std::to_string(m_slots)};
    arguments.insert(arguments.end(), m_replicaArguments.begin(), m_replicaArguments.end());
    if (!version.empty()) {
        arguments.insert(arguments.end(), {"--software", version});
    }
    m_versions.push_back(version.empty() ? "v1" : version);
    m_services.emplace_back("s");
    m_replicas.push_back(
        std::make_unique<child_process>(child_process::options{.program = "tests/replica_standin", .arguments = arguments}));
    m_replicaAddresses.push_back(endpoint::parse(m_replicas.back()->readyValue("address")));
    m_replicasForGateways.push_back(m_route ? m_route(m_replicaAddresses.back()) : m_replicaAddresses.back());
    return index;
}

gateway_fleet::~gateway_fleet() = default;

void gateway_fleet::writeSettings(std::size_t gateway, const std::string &more) const
{
    const endpoint store = m_storeRoute ? m_storeRoute(gateway, m_storeForGateways) : m_storeForGateways;
    (void)m_directory.write("gateway-" + std::to_string(gateway) + ".yaml",
                            "vm: gateway-" + std::to_string(gateway)
                                + "\nfailure_domain: d\ncaller_listen: 127.0.0.1:0\nready_listen: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\n"
                                  "metrics_listen: 127.0.0.1:0\nshutdown_seconds: 8\nstore: "
                                + store.toString() + "\n" + more);
}

void gateway_fleet::startGateway()
{
    const std::size_t index = m_gateways.size();
    writeSettings(index, m_settings);
    auto gateway = std::make_unique<gateway_process>();
    gateway->settingsFile = m_directory.file("gateway-" + std::to_string(index) + ".yaml");
    gateway->process = std::make_unique<child_process>(
        child_process::options{.program = m_program ? m_program() : "banyan-gateway", .arguments = {"--settings", gateway->settingsFile}});
    gateway->callers = endpoint::parse(gateway->process->readyValue("caller_address"));
    gateway->readiness = endpoint::parse(gateway->process->readyValue("ready_address"));
    gateway->metrics = endpoint::parse(gateway->process->readyValue("metrics_address"));
    m_gateways.push_back(std::move(gateway));
}

bool gateway_fleet::isReady(std::size_t gateway) const
{
    return call(readiness(gateway), {.target = "/-/ready"}).status == 200;
}

void gateway_fleet::waitUntilReady(std::size_t gateway) const
{
    const bool ready = eventually([&] {
        return isReady(gateway);
    });
    if (!ready) {
        throw std::runtime_error("expected gateway " + std::to_string(gateway) + " to become ready");
    }
}

std::size_t gateway_fleet::gatewayCount() const
{
    return m_gateways.size();
}

endpoint gateway_fleet::callers(std::size_t gateway) const
{
    return m_gateways.at(gateway)->callers;
}

endpoint gateway_fleet::readiness(std::size_t gateway) const
{
    return m_gateways.at(gateway)->readiness;
}

endpoint gateway_fleet::metrics(std::size_t gateway) const
{
    return m_gateways.at(gateway)->metrics;
}

endpoint gateway_fleet::store() const
{
    return m_storeAddress;
}

endpoint gateway_fleet::replica(std::size_t index) const
{
    return m_replicaAddresses.at(index);
}

child_process &gateway_fleet::gatewayProcess(std::size_t index)
{
    return *m_gateways.at(index)->process;
}

child_process &gateway_fleet::replicaProcess(std::size_t index)
{
    return *m_replicas.at(index);
}

void gateway_fleet::setRow(const std::string &table, const std::string &key, const json::value &value) const
{
    sendRow({{"table", table}, {"key", key}, {"value", value}});
}

void gateway_fleet::unregisterReplica(std::size_t index) const
{
    removeUpstream("replica-" + std::to_string(index));
}

void gateway_fleet::removeUpstream(const std::string &id) const
{
    sendRow({{"table", "servers"}, {"key", id}, {"deleted", true}});
}

void gateway_fleet::registerText(const std::string &id, const std::string &text) const
{
    sendRow({{"table", "servers"}, {"key", id}, {"text", text}});
}

void gateway_fleet::sendRow(const json::object &row) const
{
    const http_response answer = call(m_storeAddress, {.method = "POST", .target = "/standin/rows", .body = json::serialize(row)});
    if (answer.status != 204) {
        throw std::runtime_error("expected status 204 for a row, found " + std::to_string(answer.status));
    }
}

void gateway_fleet::configure(int version, const std::vector<std::string> &keys) const
{
    json::array routes = {
        routeJson("safe", "safe", m_gapTarget), routeJson("once", "unsafe", m_gapTarget), routeJson("stream", "streaming", m_gapTarget)};
    json::array services = {json::object{{"name", "s"}, {"max_conns", 100}}};
    if (!m_jobServices.empty()) {
        json::object jobs = routeJson("jobs", "bulk", m_gapTarget);
        jobs.erase("service");
        json::array split;
        for (const auto &[service, weight] : m_jobServices) {
            split.push_back(json::object{{"service", service}, {"weight", weight}});
            if (service != "s") {
                services.push_back(json::object{{"name", service}, {"max_conns", 100}});
            }
        }
        jobs["traffic_split"] = split;
        routes.push_back(std::move(jobs));
    }
    json::object limited = routeJson("limited", "bulk", m_gapTarget);
    limited["cap"] = limitedTokens;
    routes.push_back(std::move(limited));
    if (version > 1) {
        routes.push_back(routeJson("added", "safe", m_gapTarget));
    }
    json::array organisations;
    if (m_requiresKeys) {
        organisations.push_back(json::object{{"name", "own"}, {"api_keys", json::array(keys.begin(), keys.end())}});
    }
    setRow(
        "op",
        "config",
        json::object{
            {"version", version},
            {"tenants", organisations},
            {"routes", routes},
            {"services", services},
            {"limits",
             json::object{
                 {"max_header_bytes", 4096}, {"max_body_bytes", m_maximumBody}, {"header_timeout_ms", 500}, {"idle_timeout_ms", 15000}}}});
}

void gateway_fleet::registerReplica(std::size_t index, const std::string &state, int startedAt) const
{
    registerUpstream(
        "replica-" + std::to_string(index), m_replicasForGateways.at(index), m_services.at(index), m_versions.at(index), state, startedAt);
}

void gateway_fleet::setJobServices(std::vector<std::pair<std::string, int>> services)
{
    m_jobServices = std::move(services);
}

void gateway_fleet::setServiceOf(std::size_t index, const std::string &service)
{
    m_services.at(index) = service;
}

void gateway_fleet::registerUpstream(const std::string &id,
                                     const endpoint &address,
                                     const std::string &service,
                                     const std::string &version,
                                     const std::string &state,
                                     int startedAt) const
{
    setRow("servers",
           id,
           json::object{{"service", service},
                        {"address", address.toString()},
                        {"zone", "d"},
                        {"version", version},
                        {"slots", m_slots},
                        {"state", state},
                        {"born", startedAt},
                        {"seq", 1}});
}

void gateway_fleet::setStoreFaults(const json::object &faults) const
{
    (void)call(m_storeAddress, {.method = "POST", .target = "/standin/faults", .body = json::serialize(faults)});
}

void gateway_fleet::setReplicaMode(std::size_t index, const std::string &mode) const
{
    const json::object faults = {{"mode", mode}};
    (void)call(replica(index), {.method = "POST", .target = "/standin/faults", .body = json::serialize(faults)});
}

void gateway_fleet::setReplicaLimit(std::size_t index, const std::string &limit) const
{
    const json::object faults = {{"limit", limit}};
    (void)call(replica(index), {.method = "POST", .target = "/standin/faults", .body = json::serialize(faults)});
}

std::vector<std::int64_t> gateway_fleet::arrivalsAt(std::size_t index) const
{
    std::vector<std::int64_t> result;
    const json::value arrivals = json::parse(call(replica(index), {.target = "/standin/arrivals"}).body);
    for (const json::value &arrival : arrivals.as_array()) {
        result.push_back(arrival.as_int64());
    }
    return result;
}

http_response
gateway_fleet::send(std::size_t gateway, const std::string &path, const std::string &id, const std::vector<http_field> &more) const
{
    http_request request{
        .method = "POST", .target = path, .fields = {{"Request-Id", id}, {"Deadline-Ms", "5000"}}, .body = "question of " + id};
    request.fields.insert(request.fields.end(), more.begin(), more.end());
    return call(callers(gateway), request);
}

http_response gateway_fleet::sendCrashing(std::size_t gateway, const std::string &path, const std::string &id) const
{
    return call(callers(gateway),
                {.method = "POST", .target = path, .fields = {{"Request-Id", id}, {"Deadline-Ms", "5000"}}, .body = "crashes replicas"});
}

http_response gateway_fleet::submitJob(std::size_t gateway,
                                       const std::string &id,
                                       int items,
                                       const std::string &prefix,
                                       const std::string &promptParts) const
{
    json::object headers{{"Model", "m"}};
    if (!promptParts.empty()) {
        headers["Prompt-Prefix"] = promptParts;
    }
    json::array list;
    for (int number = 0; number < items; ++number) {
        list.push_back(json::object{{"id", id + "-" + std::to_string(number)},
                                    {"path", prefix + "run" + (promptParts.empty() ? "" : "-" + std::to_string(number))},
                                    {"headers", headers},
                                    {"body", "cXVlc3Rpb24="},
                                    {"tokens", tokensOfItem}});
    }
    return call(callers(gateway),
                {.method = "POST",
                 .target = prefix + id,
                 .fields = {{"Request-Id", id}, {"Content-Type", "application/json"}},
                 .body = json::serialize(json::object{{"items", list}})});
}

json::object gateway_fleet::readJob(std::size_t gateway, const std::string &id) const
{
    const http_response answer = call(callers(gateway), {.target = "/-/lots/" + id + "?after=0"});
    return answer.status == 200 ? json::parse(answer.body).as_object() : json::object{{"status", answer.status}};
}

int gateway_fleet::runsOf(const std::string &id) const
{
    int runs = 0;
    for (const endpoint &address : m_replicaAddresses) {
        const json::object counts = json::parse(call(address, {.target = "/standin/runs"}).body).as_object();
        runs += counts.contains(id) ? static_cast<int>(counts.at(id).as_int64()) : 0;
    }
    return runs;
}

double gateway_fleet::metricOf(std::size_t gateway, const std::string &state) const
{
    return valueOf(gateway, "banyan_state{name=\"" + state + "\"} ");
}

double gateway_fleet::eventsOf(std::size_t gateway, const std::string &event) const
{
    return valueOf(gateway, "banyan_events_total{event=\"" + event + "\"} ");
}

double gateway_fleet::valueOf(std::size_t gateway, const std::string &name) const
{
    const std::string text = call(metrics(gateway), {.target = "/metrics"}).body;
    const std::size_t found = text.find(name);
    return found == std::string::npos ? 0 : std::stod(text.substr(found + name.size()));
}

std::size_t gateway_fleet::rowsOf(const std::string &table) const
{
    const http_response answer = call(m_storeAddress, {.target = "/-/rows-get?table=" + table + "&part="});
    return answer.status == 200 ? json::parse(answer.body).as_object().at("rows").as_array().size() : 0;
}

bool gateway_fleet::hasRowThatBegins(const std::string &table, const std::string &encodedBegin) const
{
    const http_response answer = call(m_storeAddress, {.target = "/-/rows-get?table=" + table + "&part="});
    const json::value body = answer.status == 200 ? json::parse(answer.body) : json::object{{"rows", json::array()}};
    const json::array &rows = body.as_object().at("rows").as_array();
    return std::any_of(rows.begin(), rows.end(), [&](const json::value &row) {
        return row.at("value").as_string().starts_with(encodedBegin);
    });
}

} // namespace banyan::process_tests
