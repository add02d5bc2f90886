#include "adapter.h"
#include "banyan/core/descriptor_shares.h"
#include "banyan/io/client_memory.h"
#include "banyan/io/clock.h"
#include "banyan/io/http_client.h"
#include "banyan/io/http_exchange.h"
#include "banyan/io/http_server.h"
#include "banyan/io/log.h"
#include "banyan/io/node_metrics.h"
#include "banyan/io/serving/gateway.h"
#include "banyan/io/serving/request_relay.h"
#include "banyan/io/settings_error.h"
#include "front.h"
#include "wire_names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <string>

namespace {

using namespace banyan;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr duration balancerDelay = std::chrono::milliseconds(2500); // Two missed health checks, a second apart, and some travel.
constexpr duration shutdownMargin = std::chrono::milliseconds(700); // Before the platform kills the process.
constexpr duration upstreamConnectTimeout =
    std::chrono::milliseconds(200); // Hundred times the usual; a machine that has gone does not answer.
constexpr duration answerMargin = std::chrono::milliseconds(300); // For the last answers to reach their callers before the process ends.
constexpr std::size_t largestUnfinishedHead = std::size_t(48) << 10; // Bytes that a connection holds before its request is read.
constexpr int mappedBlockBytes = 128 << 10; // Larger blocks go back to the system as soon as they are free.
constexpr duration shutdownPoll = std::chrono::milliseconds(50);

struct command_line
{
    std::string settingsFile;
    bool checkOnly = false;
};

command_line parseCommandLine(int argc, char **argv)
{
    TCLAP::CmdLine line("Serves callers of a platform on one VM: places requests, relays them to upstreams and runs jobs.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settings("s", "settings", "YAML file with the settings of this VM.", true, "", "FILE", line);
    TCLAP::SwitchArg check("", "check", "Only check the settings file.", line);
    line.parse(argc, argv);
    return {.settingsFile = settings.getValue(), .checkOnly = check.getValue()};
}

log_options logOptionsOf(const gateway_settings &settings)
{
    return {.least = settings.logLevel, .target = log_target::StandardOutput, .linesPerSecond = settings.logLinesPerSecond};
}

/// The process: servers, clients and the gateway between them.
class gateway_process
{
public:
    gateway_process(asio::io_context &context, std::string settingsFile, const gateway_settings &settings)
        : m_context(context)
        , m_settingsFile(std::move(settingsFile))
        , m_settings(settings)
        , m_storeClient(context, {.idleConnectionsPerEndpoint = 8, .unacknowledgedTimeout = std::chrono::seconds(2)})
        , m_upstreamClient(context, {.connectTimeout = upstreamConnectTimeout, .unacknowledgedTimeout = std::chrono::seconds(2)})
        , m_gateway(context, settings, platform::makeAdapter(m_storeClient, settings.store), m_upstreamClient)
        , m_descriptors(shareDescriptors(settings.maximumDescriptors))
        , m_memory(byte_budget::optionsFor(settings.memoryMegabytes << 20U))
        , m_callerConnections(std::min(m_descriptors.callers, m_memory.budget().connectionsWithin(largestUnfinishedHead)))
        , m_callers(context,
                    {.listen = settings.callerListen,
                     .maximumConnections = m_callerConnections,
                     .memory = &m_memory,
                     .requestIdField = std::string(platform::wire::requestIdField)})
        , m_healthChecks(context, {.listen = settings.readyListen, .maximumConnections = m_descriptors.others})
        , m_metrics(context, {.listen = settings.metricsListen, .maximumConnections = m_descriptors.others})
        , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    void start()
    {
        m_gateway.limitMemory(m_memory);
        platform::serveClients(m_callers, m_gateway);
        platform::serveHealthChecks(m_healthChecks, m_gateway);
        m_metrics.route("GET", "/metrics", [this](http_exchange &exchange) -> task<> {
            publishHeld();
            http_response response{.fields = {{.name = "Content-Type", .value = "text/plain; version=0.0.4"}},
                                   .body = m_gateway.metrics().text()};
            co_await exchange.respond(std::move(response));
        });
        m_callers.start();
        m_healthChecks.start();
        m_metrics.start();
        waitForSignal();
        logEvent(log_level::Info,
                 "started",
                 {{"vm", m_settings.vm.text()},
                  {"failure_domain", m_settings.domain.text()},
                  {"caller_address", m_callers.address().toString()},
                  {"ready_address", m_healthChecks.address().toString()},
                  {"metrics_address", m_metrics.address().toString()},
                  {"store", m_settings.store.toString()}});
        m_gateway.start();
    }

private:
    void publishHeld()
    {
        m_memory.publish(m_gateway.metrics());
        m_gateway.metrics().set("caller_connections", static_cast<double>(m_callers.connections()));
        m_gateway.metrics().set("caller_connections_limit", static_cast<double>(m_callerConnections));
        m_gateway.metrics().setTotal("clients_turned_away", m_callers.turnedAway() + m_healthChecks.turnedAway() + m_metrics.turnedAway());
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                reload();
            } else {
                beginStop();
            }
            waitForSignal();
        });
    }

    /// Takes in what can change while the process runs: the log's settings. Addresses stay until the next start.
    void reload()
    {
        try {
            const gateway_settings settings = readGatewaySettings(m_settingsFile);
            const bool needsRestart = settings.callerListen != m_settings.callerListen || settings.store != m_settings.store
                                      || settings.peerListen != m_settings.peerListen;
            m_settings.logLevel = settings.logLevel;
            m_settings.logLinesPerSecond = settings.logLinesPerSecond;
            m_settings.shutdownTime = settings.shutdownTime;
            configureLog(logOptionsOf(m_settings));
            logEvent(log_level::Info, "settings_reloaded", {{"needs_restart", needsRestart ? "true" : "false"}});
        } catch (const settings_error &error) {
            logEvent(log_level::Error, "settings_not_reloaded", {{"reason", error.what()}});
        }
    }

    void beginStop()
    {
        if (std::exchange(m_stopping, true)) {
            return;
        }
        asio::co_spawn(m_context, stop(), asio::detached);
    }

    /// A planned stop: not ready at once, answers as before until the balancer has noticed, then no new connections, and the
    /// end when all work is done or the time is up.
    task<> stop()
    {
        const time_point begun = currentTime();
        const time_point end = begun + std::max(shutdownPoll, m_settings.shutdownTime - shutdownMargin);
        logEvent(log_level::Info, "stop_begun", {{"requests_in_progress", std::to_string(m_gateway.relay().inProgress())}});
        const time_point lastAnswers = std::max(begun, end - answerMargin);
        m_gateway.beginShutdown();
        m_gateway.relay().beginShutdown(std::min(lastAnswers, begun + balancerDelay), lastAnswers);
        m_callers.closeAfterAnswers();
        bool left = false;
        asio::co_spawn(
            m_context, m_gateway.leave(std::max(duration(0), end - begun - std::chrono::seconds(1))), [&left](const std::exception_ptr &) {
                left = true;
            });
        co_await sleepUntil(std::min(end, begun + balancerDelay));
        m_callers.stopAccepting();
        bool refusedUnread = false;
        while ((m_callers.inProgress() > 0 || m_gateway.forwardsInProgress() > 0 || !left) && currentTime() < end) {
            if (currentTime() >= lastAnswers && !std::exchange(refusedUnread, true)) {
                m_callers.refuseUnreadBodies();
            }
            co_await sleepUntil(currentTime() + shutdownPoll);
        }
        logEvent(log_level::Info, "stopped", {{"requests_left", std::to_string(m_gateway.relay().inProgress())}});
        m_context.stop();
    }

    task<> sleepUntil(time_point when)
    {
        asio::steady_timer timer(m_context, std::max(duration(0), when - currentTime()));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::io_context &m_context;
    std::string m_settingsFile;
    gateway_settings m_settings;
    http_client m_storeClient;
    http_client m_upstreamClient;
    gateway m_gateway;
    descriptor_shares m_descriptors;
    client_memory m_memory;
    std::size_t m_callerConnections; ///< The most that are open at once.
    http_server m_callers;
    http_server m_healthChecks;
    http_server m_metrics;
    asio::signal_set m_signals;
    bool m_stopping = false;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        const command_line line = parseCommandLine(argc, argv);
        const gateway_settings settings = readGatewaySettings(line.settingsFile);
        configureLog(logOptionsOf(settings));
        if (line.checkOnly) {
            return 0;
        }
        if (settings.memoryMegabytes != 0) {
            (void)mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
        }
        asio::io_context context(1);
        gateway_process process(context, line.settingsFile, settings);
        process.start();
        context.run();
        std::quick_exit(0); // Work that the end of the time has cut needs no orderly end.
    } catch (const settings_error &error) {
        std::cerr << error.what() << std::endl;
        return exitUsage;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "banyan-gateway: " << error.argId() << ": " << error.error() << std::endl;
        return exitUsage;
    } catch (const std::exception &error) {
        logEvent(log_level::Error, "start_failed", {{"error", error.what()}});
        return exitFailure;
    }
}
