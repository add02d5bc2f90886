#pragma once

#include "child_process.h"
#include "temporary_directory.h"

#include "banyan/core/endpoint.h"
#include "banyan/io/http_message.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace banyan::process_tests {

/// A store, replicas and gateways as processes, speaking the users' protocols, with a route of each kind: "/safe/",
/// "/once/", "/stream/" (resumable), "/jobs/", and "/limited/" for jobs with a quota, of the host "test".
class gateway_fleet
{
public:
    struct options
    {
        std::size_t gateways = 2;
        std::size_t replicas = 2;
        std::vector<std::string> replicaArguments;
        std::vector<std::string> versions; ///< Software versions of the replicas, in their order; events then name them.
        /// Maps the address of a stand-in to the one by which gateways reach it; empty: the same.
        std::function<endpoint(const endpoint &)> route;
        /// Maps the store's address to the one by which one gateway reaches it; empty: as by @ref route.
        std::function<endpoint(std::size_t gateway, const endpoint &)> storeRoute;
        /// The program of the gateway that is started next, as of a child_process; empty: the one of this build.
        std::function<std::string()> program;
        std::vector<std::string> keys; ///< Of the organisation "own"; without any, no keys are required.
        std::string settings; ///< More lines of the gateways' settings files.
        std::size_t maximumBody = 100000; ///< Of a client's request, in bytes; in the configuration.
        std::size_t slots = 8; ///< Of each replica.
        std::chrono::milliseconds gapTarget{400}; ///< Of the configuration's routes: between the events of a stream.
        std::size_t unregistered = 0; ///< So many of the replicas, the last ones, are not registered at first.
    };

    static constexpr int firstStart = 1; ///< Time of start that replicas register with.
    static constexpr int tokensOfItem = 100;
    static constexpr int limitedTokens = 300; ///< That may wait on the route "/limited/".

    explicit gateway_fleet(const options &wanted);
    ~gateway_fleet();

    /// Number of gateways started so far.
    [[nodiscard]] std::size_t gatewayCount() const;
    [[nodiscard]] endpoint callers(std::size_t gateway) const;
    [[nodiscard]] endpoint readiness(std::size_t gateway) const;
    [[nodiscard]] endpoint metrics(std::size_t gateway) const;
    [[nodiscard]] endpoint store() const;
    [[nodiscard]] endpoint replica(std::size_t index) const;
    [[nodiscard]] child_process &gatewayProcess(std::size_t index);
    [[nodiscard]] child_process &replicaProcess(std::size_t index);

    /// Writes the gateway's settings file.
    void writeSettings(std::size_t gateway, const std::string &more = {}) const;
    void startGateway();
    /// Starts a replica of a software version, under an id of its own, that is not registered yet. Returns its index.
    std::size_t startReplica(const std::string &version);
    void waitUntilReady(std::size_t gateway) const;
    [[nodiscard]] bool isReady(std::size_t gateway) const;

    /// Puts a configuration with that version; later versions have one more route, "/added/".
    /// The organisation "own" then has the keys; if there never were any, no keys are required.
    void configure(int version, const std::vector<std::string> &keys = {}) const;
    /// The services of the route "/jobs/" with their weights, in the configurations from now on; none removes the route.
    void setJobServices(std::vector<std::pair<std::string, int>> services);
    /// The service for which a replica registers from now on; "s" at first.
    void setServiceOf(std::size_t index, const std::string &service);
    /// Writes the registration of any replica.
    void registerUpstream(const std::string &id,
                          const endpoint &address,
                          const std::string &service,
                          const std::string &version,
                          const std::string &state = "ready",
                          int startedAt = firstStart) const;
    /// Writes a replica's registration; another time of start makes it a new start of the replica.
    void registerReplica(std::size_t index, const std::string &state = "ready", int startedAt = firstStart) const;
    /// Removes a replica's registration.
    void unregisterReplica(std::size_t index) const;
    void removeUpstream(const std::string &id) const;
    /// Writes any text as a registration, as another writer might.
    void registerText(const std::string &id, const std::string &text) const;
    void setStoreFaults(const boost::json::object &faults) const;
    void setReplicaMode(std::size_t index, const std::string &mode) const;

    /// Sets the rate limit that all answers of a replica name; empty for none.
    void setReplicaLimit(std::size_t index, const std::string &limit) const;
    /// When each request arrived at a replica, in milliseconds of a steady clock.
    [[nodiscard]] std::vector<std::int64_t> arrivalsAt(std::size_t index) const;

    /// Sends a request to a gateway, with a body of its own.
    [[nodiscard]] http_response
    send(std::size_t gateway, const std::string &path, const std::string &id, const std::vector<http_field> &more = {}) const;
    /// Sends a request with a body under which replicas crash.
    [[nodiscard]] http_response sendCrashing(std::size_t gateway, const std::string &path, const std::string &id) const;
    /// Each item counts tokensOfItem. With @p promptParts, items have these and a path each, so that their contents differ.
    [[nodiscard]] http_response submitJob(std::size_t gateway,
                                          const std::string &id,
                                          int items,
                                          const std::string &prefix = "/jobs/",
                                          const std::string &promptParts = {}) const;
    [[nodiscard]] boost::json::object readJob(std::size_t gateway, const std::string &id) const;
    /// How often a request has run, at all replicas that live.
    [[nodiscard]] int runsOf(const std::string &id) const;
    /// A gauge of banyan_state; 0 if there is none.
    [[nodiscard]] double metricOf(std::size_t gateway, const std::string &state) const;
    /// How often the gateway has counted an event in banyan_events_total.
    [[nodiscard]] double eventsOf(std::size_t gateway, const std::string &event) const;
    /// How many rows the store holds in a table; 0 if it does not say.
    [[nodiscard]] std::size_t rowsOf(const std::string &table) const;
    /// Whether the store holds a row in a table whose value in base64 begins so.
    [[nodiscard]] bool hasRowThatBegins(const std::string &table, const std::string &encodedBegin) const;

private:
    struct gateway_process;

    void setRow(const std::string &table, const std::string &key, const boost::json::value &value) const;
    void sendRow(const boost::json::object &row) const;
    [[nodiscard]] double valueOf(std::size_t gateway, const std::string &name) const;

    std::function<endpoint(const endpoint &)> m_route;
    std::function<endpoint(std::size_t gateway, const endpoint &)> m_storeRoute;
    std::function<std::string()> m_program;
    std::vector<std::string> m_replicaArguments;
    std::string m_settings;
    bool m_requiresKeys;
    std::size_t m_maximumBody;
    std::size_t m_slots;
    std::chrono::milliseconds m_gapTarget;
    temporary_directory m_directory;
    std::unique_ptr<child_process> m_store;
    endpoint m_storeAddress;
    endpoint m_storeForGateways;
    std::vector<std::unique_ptr<child_process>> m_replicas;
    std::vector<endpoint> m_replicaAddresses;
    std::vector<std::string> m_versions;
    std::vector<std::string> m_services; ///< Of each replica.
    std::vector<std::pair<std::string, int>> m_jobServices{{"s", 1}};
    std::vector<endpoint> m_replicasForGateways;
    std::vector<std::unique_ptr<gateway_process>> m_gateways;
};

} // namespace banyan::process_tests
