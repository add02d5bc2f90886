#include "banyan/io/serving/gateway_settings.h"

#include "../settings_reader.h"

#include <array>

namespace banyan {

namespace {

constexpr double minimumShutdownSeconds = 1;
constexpr double maximumShutdownSeconds = 3600;
constexpr double minimumRevocationSeconds = 1; // Unless it is 0. In less, not every gateway can read the configuration.
constexpr double maximumRevocationSeconds = 86400;
constexpr double minimumProcessorShare = 0.01; // In cores.
constexpr double maximumProcessorShare = 1024; // In cores.
constexpr double minimumWindowSeconds = 0.1;
constexpr double maximumWindowSeconds = 3600;
constexpr double maximumOverage = 10; // Times the limit.
constexpr double maximumSlack = 1e6; // Requests.
constexpr double minimumMemory = 1; // MiB.
constexpr double maximumMemory = 1 << 20; // MiB.
constexpr double minimumDescriptors = 64;
constexpr double maximumDescriptors = 1 << 20;
constexpr std::uint64_t maximumLogLines = 100000; // Per second.

constexpr std::array<std::string_view, 18> knownKeys = {"vm",
                                                        "failure_domain",
                                                        "caller_listen",
                                                        "ready_listen",
                                                        "peer_listen",
                                                        "metrics_listen",
                                                        "store",
                                                        "processor_share",
                                                        "placement",
                                                        "memory_megabytes",
                                                        "maximum_descriptors",
                                                        "shutdown_seconds",
                                                        "revocation_seconds",
                                                        "limit_window_seconds",
                                                        "limit_overage",
                                                        "limit_slack",
                                                        "log_level",
                                                        "log_lines_per_second"};

duration secondsIn(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

limit_tolerance readTolerance(const settings_reader &reader)
{
    limit_tolerance tolerance;
    if (reader.hasValue("limit_window_seconds")) {
        tolerance.window = secondsIn(reader.decimal("limit_window_seconds", minimumWindowSeconds, maximumWindowSeconds));
    }
    if (reader.hasValue("limit_overage")) {
        tolerance.overage = reader.decimal("limit_overage", 0, maximumOverage);
    }
    if (reader.hasValue("limit_slack")) {
        tolerance.slack = reader.decimal("limit_slack", 0, maximumSlack);
    }
    return tolerance;
}

placement_policy placementOf(const settings_reader &reader)
{
    const std::string name = reader.text("placement");
    for (const placement_policy policy : {placement_policy::Automatic, placement_policy::ExpectedCost, placement_policy::LeastRuns}) {
        if (name == toString(policy)) {
            return policy;
        }
    }
    reader.failAt("placement", "automatic, expected_cost or least_runs", name);
}

} // namespace

gateway_settings readGatewaySettings(const std::string &path)
{
    const settings_reader reader(path, knownKeys);
    gateway_settings settings;
    settings.vm = vm_id(reader.text("vm"));
    settings.domain = failure_domain(reader.text("failure_domain"));
    settings.callerListen = reader.address("caller_listen");
    settings.readyListen = reader.address("ready_listen");
    settings.peerListen = reader.address("peer_listen");
    settings.metricsListen = reader.address("metrics_listen");
    settings.store = reader.address("store");
    if (reader.has("processor_share")) {
        settings.processorShare = reader.decimal("processor_share", minimumProcessorShare, maximumProcessorShare);
    }
    if (reader.has("placement")) {
        settings.placement = placementOf(reader);
    }
    if (reader.has("memory_megabytes")) {
        settings.memoryMegabytes = static_cast<std::size_t>(reader.decimal("memory_megabytes", minimumMemory, maximumMemory));
    }
    if (reader.has("maximum_descriptors")) {
        settings.maximumDescriptors =
            static_cast<std::size_t>(reader.decimal("maximum_descriptors", minimumDescriptors, maximumDescriptors));
    }
    if (reader.has("shutdown_seconds")) {
        settings.shutdownTime = secondsIn(reader.decimal("shutdown_seconds", minimumShutdownSeconds, maximumShutdownSeconds));
    }
    if (reader.has("revocation_seconds")) {
        const double seconds = reader.decimal("revocation_seconds", 0, maximumRevocationSeconds);
        if (seconds > 0 && seconds < minimumRevocationSeconds) {
            reader.failAt("revocation_seconds", "0 or a number from 1", reader.text("revocation_seconds"));
        }
        settings.revocationTime = secondsIn(seconds);
    }
    settings.organisationLimits = readTolerance(reader);
    if (reader.has("log_level")) {
        settings.logLevel = reader.logLevel("log_level");
    }
    if (reader.has("log_lines_per_second")) {
        settings.logLinesPerSecond = static_cast<std::uint32_t>(reader.number("log_lines_per_second", 1, maximumLogLines));
    }
    return settings;
}

} // namespace banyan
