#pragma once

#include "banyan/core/serving/replica.h"
#include "banyan/core/serving/route_table.h"
#include "banyan/core/serving/serving_configuration.h"
#include "banyan/core/serving/table_row.h"
#include "banyan/io/asio_types.h"
#include "banyan/io/serving/gateway_settings.h"
#include "banyan/io/serving/table_store.h"
#include "banyan/io/serving/upstream_protocol.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyan {

class http_client;
class http_exchange;
class listed_job_service;
class node_metrics;
class request_relay;

/// Where the platform keeps what a gateway follows, and how it is read; supplied by the platform's adapter.
struct gateway_platform
{
    table_store store;
    upstream_protocol protocol;
    std::string configurationTable;
    std::string configurationKey; ///< Of the row with the newest configuration.
    std::string replicaTable;
    /// Decoders return nothing for rows that cannot be read.
    std::function<std::optional<serving_configuration>(const table_row &row)> decodeConfiguration;
    std::function<std::optional<replica>(const table_row &row)> decodeReplica;
};

/// Everything between callers and upstreams on one VM: follows configuration and upstreams, places and relays requests, runs
/// jobs, and shares its load with the other gateways.
class gateway
{
public:
    /// @p upstreamClient must outlive the gateway.
    gateway(asio::io_context &context, const gateway_settings &settings, gateway_platform platform, http_client &upstreamClient);
    ~gateway();

    /// Begins to follow the store and to talk to the other gateways.
    void start();

    /// Whether new connections should come here.
    [[nodiscard]] bool isReady() const;

    /// Why not, for logs and the balancer's answer.
    [[nodiscard]] std::string readinessText() const;

    /// The routes in force; null while no configuration is known.
    [[nodiscard]] std::shared_ptr<const route_table> routes() const;

    [[nodiscard]] request_relay &relay();
    [[nodiscard]] listed_job_service &jobs();
    [[nodiscard]] node_metrics &metrics();

    /// Calls @p handler with each configuration that comes into force.
    void onConfiguration(std::function<void(const serving_configuration &configuration)> handler);

    /// Reports not ready from now on, as the first step of a planned stop.
    void beginShutdown();

    /// Gives jobs back and leaves the other gateways.
    [[nodiscard]] task<> leave(duration jobTime);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace banyan
