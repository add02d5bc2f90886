#pragma once

#include "banyan/core/endpoint.h"
#include "banyan/core/identifier.h"
#include "banyan/core/serving/limit_tolerance.h"
#include "banyan/core/serving/placement_policy.h"
#include "banyan/core/time.h"
#include "banyan/io/log.h"

#include <compare>
#include <cstddef>
#include <string>

namespace banyan {

/// Settings of a banyan-gateway, read from its settings file at startup and on SIGHUP. docs/OPERATIONS.md lists every key.
struct gateway_settings
{
    vm_id vm; ///< Key `vm`: name of this VM.
    failure_domain domain; ///< Key `failure_domain`.
    endpoint callerListen; ///< Key `caller_listen`: HTTP for callers.
    endpoint readyListen; ///< Key `ready_listen`: HTTP for the load balancer's health checks.
    endpoint peerListen; ///< Key `peer_listen`: UDP between gateways.
    endpoint metricsListen; ///< Key `metrics_listen`: HTTP for metrics.
    endpoint store; ///< Key `store`: the platform's store.
    std::size_t memoryMegabytes =
        0; ///< Key `memory_megabytes`: memory of this VM for the process, in MiB; 0: what clients hold is not bounded.
    std::size_t maximumDescriptors = 0; ///< Key `maximum_descriptors`: open descriptors of the process; 0: clients' are not bounded by it.
    double processorShare = 1; ///< Key `processor_share`: cores for this process; stronger VMs schedule the requests of others.
    limit_tolerance organisationLimits; ///< Keys `limit_window_seconds`, `limit_overage`, `limit_slack`.
    placement_policy placement = placement_policy::Automatic; ///< Key `placement`: by what the upstream of a run is chosen.
    duration shutdownTime = std::chrono::seconds(8); ///< Key `shutdown_seconds`: time from SIGTERM to the end of the process.
    duration revocationTime{}; ///< Key `revocation_seconds`: after which no request under a key that was taken away runs; 0 for no limit.
    log_level logLevel = log_level::Info; ///< Key `log_level`: debug, info, warning or error.
    std::uint32_t logLinesPerSecond = 200; ///< Key `log_lines_per_second`: limit of the log rate.

    auto operator<=>(const gateway_settings &) const = default;
};

/// Reads and checks a settings file.
/// @throws settings_error naming the file, the line, the expected and the actual value
[[nodiscard]] gateway_settings readGatewaySettings(const std::string &path);

} // namespace banyan
