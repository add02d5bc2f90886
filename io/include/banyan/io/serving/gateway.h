#pragma once

#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/route_table.h"
#include "banyan/core/serving/serving_configuration.h"
#include "banyan/core/serving/table_row.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/gateway_settings.h"
#include "banyan/io/serving/table_store.h"
#include "banyan/io/serving/upstream_protocol.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyan {

class caller_admission;
class client_memory;
class http_client;
class http_exchange;
class key_digester;
class listed_job_service;
class node_metrics;
class request_relay;

/// The platform's store, the tables that a gateway follows and their decoders; supplied by the platform's adapter.
struct gateway_platform
{
    table_store store;
    upstream_protocol protocol;
    std::string configurationTable;
    std::string configurationKey; ///< Key of the row with the newest configuration.
    std::string replicaTable;
    /// The decoders return nullopt for rows that cannot be read.
    std::function<std::optional<serving_configuration>(const table_row &row, const key_digester &digester)> decodeConfiguration;
    std::function<std::optional<replica>(const table_row &row)> decodeReplica;
};

/// The serving layer between callers and upstreams on one VM: follows the configuration and the registered upstreams, schedules
/// and forwards requests, runs jobs, and exchanges load reports with the other gateways.
class gateway
{
public:
    /// @p upstreamClient must outlive the gateway.
    gateway(asio::io_context &context, const gateway_settings &settings, gateway_platform platform, http_client &upstreamClient);
    ~gateway();

    /// Lets what is held for clients draw on @p memory, which must outlive the gateway. To be called before start().
    void limitMemory(client_memory &memory);

    /// Starts following the store and exchanging messages with the other gateways.
    void start();

    /// Whether the load balancer should send new connections to this gateway.
    [[nodiscard]] bool isReady() const;

    /// "ready" or the reason why the gateway is not ready, for logs and the health check's answer.
    [[nodiscard]] std::string readinessText() const;

    /// The routes in force; null until a configuration has been read.
    [[nodiscard]] std::shared_ptr<const route_table> routes() const;

    /// Requests of other gateways that this one is forwarding.
    [[nodiscard]] std::size_t forwardsInProgress() const;

    [[nodiscard]] caller_admission &callers();
    [[nodiscard]] request_relay &relay();
    [[nodiscard]] listed_job_service &jobs();
    [[nodiscard]] node_metrics &metrics();

    /// Calls @p handler with each configuration that takes effect.
    void onConfiguration(std::function<void(const serving_configuration &configuration)> handler);

    /// Reports not ready from now on, as the first step of a planned shutdown.
    void beginShutdown();

    /// Hands jobs over to other gateways, which may take up to @p jobTime, and removes the registration of this gateway.
    [[nodiscard]] task<> leave(duration jobTime);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
