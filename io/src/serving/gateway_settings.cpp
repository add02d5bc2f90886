#include "banyan/io/serving/gateway_settings.h"

#include "../settings_reader.h"

#include <array>

namespace banyan {

namespace {

constexpr double minimumShutdownSeconds = 1;
constexpr double maximumShutdownSeconds = 3600;
constexpr double minimumProcessorShare = 0.01; // In cores.
constexpr double maximumProcessorShare = 1024; // In cores.
constexpr double minimumMemory = 1; // MiB.
constexpr double maximumMemory = 1 << 20; // MiB.
constexpr double minimumDescriptors = 64;
constexpr double maximumDescriptors = 1 << 20;
constexpr std::uint64_t maximumLogLines = 100000; // Per second.

constexpr std::array<std::string_view, 13> knownKeys = {"vm",
                                                        "failure_domain",
                                                        "caller_listen",
                                                        "ready_listen",
                                                        "peer_listen",
                                                        "metrics_listen",
                                                        "store",
                                                        "processor_share",
                                                        "memory_megabytes",
                                                        "maximum_descriptors",
                                                        "shutdown_seconds",
                                                        "log_level",
                                                        "log_lines_per_second"};

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
    if (reader.has("memory_megabytes")) {
        settings.memoryMegabytes = static_cast<std::size_t>(reader.decimal("memory_megabytes", minimumMemory, maximumMemory));
    }
    if (reader.has("maximum_descriptors")) {
        settings.maximumDescriptors =
            static_cast<std::size_t>(reader.decimal("maximum_descriptors", minimumDescriptors, maximumDescriptors));
    }
    if (reader.has("shutdown_seconds")) {
        const std::chrono::duration<double> seconds(reader.decimal("shutdown_seconds", minimumShutdownSeconds, maximumShutdownSeconds));
        settings.shutdownTime = std::chrono::duration_cast<duration>(seconds);
    }
    if (reader.has("log_level")) {
        settings.logLevel = reader.logLevel("log_level");
    }
    if (reader.has("log_lines_per_second")) {
        settings.logLinesPerSecond = static_cast<std::uint32_t>(reader.number("log_lines_per_second", 1, maximumLogLines));
    }
    return settings;
}

} // namespace banyan
