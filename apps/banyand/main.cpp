#include "banyan/io/banyan_node.h"
#include "banyan/io/log.h"
#include "banyan/io/settings_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <string>

namespace {

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

struct command_line
{
    std::string settingsFile;
    bool checkOnly = false;
};

command_line parseCommandLine(int argc, char **argv)
{
    TCLAP::CmdLine line("Serves callers, dispatches to upstreams and runs batch jobs on one entry VM.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settings("s", "settings", "YAML file with the settings of this VM.", true, "", "FILE", line);
    TCLAP::SwitchArg check("", "check", "Only check the settings file.", line);
    line.parse(argc, argv);
    return {.settingsFile = settings.getValue(), .checkOnly = check.getValue()};
}

/// Ends the event loop after a planned stop; only the first call has an effect.
void beginStop(banyan::asio::io_context &context, banyan::banyan_node &node)
{
    static bool begun = false;
    if (begun) {
        return;
    }
    begun = true;
    banyan::asio::co_spawn(context, node.stop(), [&context](const std::exception_ptr &failure) {
        if (failure) {
            banyan::logEvent(banyan::log_level::Error, "stop_failed");
        }
        context.stop();
    });
}

void run(const banyan::node_settings &settings)
{
    banyan::asio::io_context context(1);
    banyan::banyan_node node(context, settings);
    node.onDrainRequested([&] {
        beginStop(context, node);
    });
    banyan::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            beginStop(context, node);
        }
    });
    node.start();
    std::cout << "event=ready caller_address=" << node.callerAddress().toString()
              << " operator_address=" << node.operatorAddress().toString() << " peer_address=" << node.peerAddress().toString()
              << std::endl;
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const command_line line = parseCommandLine(argc, argv);
        const banyan::node_settings settings = banyan::readSettings(line.settingsFile);
        banyan::configureLog(settings.logLevel);
        if (!line.checkOnly) {
            run(settings);
        }
        return 0;
    } catch (const banyan::settings_error &error) {
        std::cerr << error.what() << std::endl;
        return exitUsage;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "banyand: " << error.argId() << ": " << error.error() << std::endl;
        return exitUsage;
    } catch (const std::exception &error) {
        banyan::logEvent(banyan::log_level::Error, "start_failed", {{"error", error.what()}});
        return exitFailure;
    }
}
