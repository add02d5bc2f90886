// Measures what banyand in front of a model engine costs: the same chat completion is sent to the engine itself and through
// banyand, in alternating rounds of one run. tools/bench-hop starts the processes and names them here.

#include "load_run.h"
#include "process_usage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <thread>

using namespace banyan;

namespace {

/// Both ways of one comparison.
struct comparison
{
    bench::load_result direct;
    bench::load_result through;
};

http_request chatRequest(const std::string &model, const std::string &key)
{
    return {.method = "POST",
            .target = "/v1/chat/completions",
            .fields = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + key}},
            .body = R"({"model":")" + model + R"(","messages":[{"role":"user","content":"how many drums are left"}]})"};
}

bench::load_result run(const bench::load_options &options)
{
    asio::io_context context;
    http_client client(context, {.idleConnectionsPerEndpoint = options.concurrency});
    auto result = asio::co_spawn(context, bench::loadRun(client, options), asio::use_future);
    context.run();
    return result.get();
}

comparison compare(const bench::load_options &direct, const bench::load_options &through, unsigned rounds)
{
    comparison result;
    for (unsigned round = 0; round < rounds; ++round) {
        result.direct.add(run(direct));
        result.through.add(run(through));
    }
    return result;
}

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void print(const char *way, std::size_t concurrency, const bench::load_result &result)
{
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    std::printf("way=%s concurrency=%zu requests=%zu failures=%zu median_ms=%.3f p99_ms=%.3f requests_per_second=%.0f\n",
                way,
                concurrency,
                result.latencies.size(),
                result.failures,
                milliseconds(result.latencyAt(median)),
                milliseconds(result.latencyAt(tail)),
                result.requestsPerSecond());
}

/// Prints what an idle daemon uses.
void printIdle(pid_t process, unsigned seconds)
{
    constexpr double bytesPerMegabyte = 1e6;
    const bench::process_usage before = bench::process_usage::of(process);
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const bench::process_usage after = bench::process_usage::of(process);
    const double used = std::chrono::duration<double>(after.processorTime - before.processorTime).count();
    std::printf("idle_seconds=%u resident_mb=%.1f core_percent=%.2f\n",
                seconds,
                static_cast<double>(after.residentBytes) / bytesPerMegabyte,
                used / seconds * 100);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Cost of the hop through banyand.");
        TCLAP::ValueArg<std::string> direct("", "direct", "The engine's address.", true, "", "IP:PORT", line);
        TCLAP::ValueArg<std::string> through("", "through", "banyand's caller address.", true, "", "IP:PORT", line);
        TCLAP::ValueArg<std::string> key("", "key", "The caller's key.", true, "", "KEY", line);
        TCLAP::ValueArg<std::string> model("", "model", "The model.", false, "advisor", "NAME", line);
        TCLAP::ValueArg<unsigned> requests("", "requests", "Requests each way and round.", false, 1000, "N", line);
        TCLAP::ValueArg<unsigned> rounds("", "rounds", "Alternating rounds.", false, 5, "N", line);
        TCLAP::MultiArg<unsigned> concurrency("", "concurrency", "Requests in progress; may be given several times.", false, "N", line);
        TCLAP::ValueArg<int> process("", "process", "banyand's process id, to measure it idle.", false, 0, "PID", line);
        TCLAP::ValueArg<unsigned> idle("", "idle-seconds", "How long to measure it idle.", false, 10, "SECONDS", line);
        line.parse(argc, argv);

        if (process.isSet()) {
            printIdle(process.getValue(), idle.getValue());
        }
        const http_request request = chatRequest(model.getValue(), key.getValue());
        for (const unsigned inProgress : concurrency.getValue()) {
            const bench::load_options base{.request = request, .requests = requests.getValue(), .concurrency = inProgress};
            bench::load_options directOptions = base;
            directOptions.target = endpoint::parse(direct.getValue());
            bench::load_options throughOptions = base;
            throughOptions.target = endpoint::parse(through.getValue());
            const comparison result = compare(directOptions, throughOptions, rounds.getValue());
            print("direct", inProgress, result.direct);
            print("through", inProgress, result.through);
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "bench_hop: %s\n", error.what());
        return 1;
    }
    return 0;
}
