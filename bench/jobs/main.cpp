// Measures batch jobs over an in-memory store with virtual time:
//   bench_jobs store      writes and reads of the store for each thousand items, against a row for each item
//   bench_jobs memory     memory of a coordinating node by job size
//   bench_jobs takeover   time until another node coordinates a dead node's job, and items run twice
// Further arguments: --seed N (takeover), --runs N (takeover).

#include "counting_store.h"

#include "banyan/io/file_service.h"
#include "banyan/io/job_service.h"
#include "banyan/io/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace banyan;
using namespace banyan::bench;

namespace {

constexpr duration shortRun = std::chrono::milliseconds(200);
constexpr duration longRun = std::chrono::milliseconds(2000); ///< Of one item in fifty.
constexpr std::uint32_t longShare = 50;
constexpr std::uint32_t largestJob = 590'000;
const caller_id caller("bench");

std::string itemLine(std::uint32_t number)
{
    const std::string text = "plan of the visits of sitter number " + std::to_string(number) + std::string(100, '.');
    return R"({"custom_id":"item-)" + std::to_string(number)
           + R"(","method":"POST","url":"/v1/chat/completions","body":{"model":"rota","messages":[{"role":"user","content":")" + text
           + "\"}]}}\n";
}

/// Counts the runs of items and ends each after some time.
struct item_runs
{
    std::set<std::string> ended;
    std::uint64_t endedTwice = 0;
    std::uint64_t started = 0;
    std::uint64_t next = 0;
    bool remembers = true;
};

request_runner makeRunner(counting_store &store, const std::shared_ptr<item_runs> &runs)
{
    return [&store, runs](run_request request, std::shared_ptr<run_cancellation> cancellation) -> task<run_answer> {
        ++runs->started;
        const auto timer = std::make_shared<asio::steady_timer>(store.world.context, asio::steady_timer::time_point::max());
        const auto wake = [timer] {
            timer->expires_at(asio::steady_timer::time_point::min());
        };
        cancellation->onCancel(wake);
        store.world.callAfter(++runs->next % longShare == 0 ? longRun : shortRun, wake);
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (cancellation->cancelled()) {
            co_return run_answer{.result = {.what = disposition::Cancelled}};
        }
        if (runs->remembers && !runs->ended.insert(request.dispatch.id.text()).second) {
            ++runs->endedTwice;
        }
        run_answer answer;
        answer.response.body = request.message.body;
        co_return answer;
    };
}

run_request buildRequest(const caller_id &, const batch_item &item)
{
    run_request request;
    request.message.body = item.body;
    return request;
}

/// One node over a store.
struct bench_node
{
    bench_node(counting_store &store,
               const std::shared_ptr<item_runs> &runs,
               const std::string &name,
               const std::shared_ptr<std::vector<node_info>> &live,
               std::uint64_t seed)
        : state(std::make_shared<tests::virtual_store::faults>())
        , files(store.port(state), {.seed = seed})
        , jobs(store.world.context,
               store.port(state),
               files,
               {.run = makeRunner(store, runs),
                .buildRequest = buildRequest,
                .self = {.id = node_id(name)},
                .nodes =
                    [live] {
                        return *live;
                    },
                .pushCancel = nullptr},
               {.seed = seed})
    {
        live->push_back({.id = node_id(name)});
    }

    std::shared_ptr<tests::virtual_store::faults> state;
    file_service files;
    job_service jobs;
};

/// Some nodes and one job.
struct bench_fleet
{
    bench_fleet(std::size_t count, std::uint64_t seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            nodes.push_back(std::make_unique<bench_node>(store, runs, "node-" + std::to_string(index), live, seed * 1000 + index + 1));
            nodes.back()->jobs.start();
        }
    }

    ~bench_fleet()
    {
        for (const auto &node : nodes) {
            node->jobs.stop();
        }
    }

    file_id upload(std::uint32_t items)
    {
        file_service &files = nodes[0]->files;
        const auto work = [&files, items]() -> task<file_record> {
            file_service::upload upload = co_await files.beginUpload(caller);
            for (std::uint32_t number = 0; number < items; ++number) {
                std::string line = itemLine(number);
                co_await upload.write(std::move(line));
            }
            co_return co_await upload.commit("plans.jsonl", "batch");
        };
        return store.world.get(work()).id;
    }

    job_id create(const file_id &input)
    {
        const job_request request{.inputFile = input, .endpoint = "/v1/chat/completions"};
        return store.world.get(nodes[0]->jobs.create(caller, request)).id;
    }

    [[nodiscard]] job_record record(const job_id &job) const
    {
        return job_record::fromJson(store.valueOf(jobKey(job)));
    }

    job_record runToEnd(const job_id &job)
    {
        const auto ended = [&] {
            return store.valueOf(jobKey(job)).find("\"ended_at\"") != std::string::npos;
        };
        store.world.runUntil(ended, std::chrono::hours(24));
        return record(job);
    }

    counting_store store;
    std::shared_ptr<item_runs> runs = std::make_shared<item_runs>();
    std::shared_ptr<std::vector<node_info>> live = std::make_shared<std::vector<node_info>>();
    std::vector<std::unique_ptr<bench_node>> nodes;
};

void printCounts(const char *what, std::uint32_t items, const store_counts &counts)
{
    const double thousands = items / 1000.0;
    std::printf("%-10s items=%u per_thousand: transactions=%.2f rows_written=%.2f row_bytes=%.0f row_reads=%.2f objects_written=%.2f "
                "object_bytes=%.0f objects_read=%.2f\n",
                what,
                items,
                static_cast<double>(counts.transactions) / thousands,
                static_cast<double>(counts.rowsWritten) / thousands,
                static_cast<double>(counts.rowBytes) / thousands,
                static_cast<double>(counts.rowReads) / thousands,
                static_cast<double>(counts.objectsWritten) / thousands,
                static_cast<double>(counts.objectBytes) / thousands,
                static_cast<double>(counts.objectsRead) / thousands);
}

/// The naive version: a row for each item, written when it is accepted (500 in a transaction) and when it ends.
store_counts naiveCounts(std::uint32_t items)
{
    constexpr std::uint32_t rowsPerTransaction = 500;
    counting_store store;
    const store_port port = store.port(std::make_shared<tests::virtual_store::faults>());
    for (std::uint32_t first = 0; first < items; first += rowsPerTransaction) {
        transaction change;
        for (std::uint32_t item = first; item < std::min(items, first + rowsPerTransaction); ++item) {
            change.writes.push_back({.key = "item/" + std::to_string(item), .value = itemLine(item)});
        }
        (void)store.world.get(port.commit(std::move(change)));
    }
    for (std::uint32_t item = 0; item < items; ++item) {
        const std::optional<row> read = store.world.get(port.read("item/" + std::to_string(item)));
        transaction change;
        change.conditions.push_back({.key = read->key, .version = read->version});
        change.writes.push_back({.key = read->key, .value = read->value});
        (void)store.world.get(port.commit(std::move(change)));
    }
    return store.counts;
}

void measureStore()
{
    for (const std::uint32_t items : {100U, 1000U, 10'000U, 50'000U, 100'000U, largestJob}) {
        bench_fleet fleet(1, 1);
        const file_id input = fleet.upload(items);
        const store_counts uploaded = fleet.store.counts;
        printCounts("upload", items, uploaded);
        const auto begun = std::chrono::steady_clock::now();
        const time_point start = fleet.store.world.now();
        const job_id job = fleet.create(input);
        const job_record ended = fleet.runToEnd(job);
        const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begun;
        const std::chrono::duration<double> virtualTime = fleet.store.world.now() - start;
        printCounts("run", items, fleet.store.counts.since(uploaded));
        std::printf("           completed=%u last_row_bytes=%zu virtual_s=%.1f processor_us_per_item=%.1f\n",
                    ended.completed,
                    ended.toJson().size(),
                    virtualTime.count(),
                    taken.count() * 1e6 / items);
    }
    printCounts("row-each", 10'000, naiveCounts(10'000));
    bench_fleet idle(1, 1);
    idle.store.world.runFor(std::chrono::seconds(100));
    std::printf("at rest    one node alone: transactions_per_s=%.2f row_reads_per_s=%.2f (all shards are its own)\n",
                static_cast<double>(idle.store.counts.transactions) / 100,
                static_cast<double>(idle.store.counts.rowReads) / 100);
}

/// Memory in use while a job runs whose input is made as it is read and whose results are dropped.
void measureMemory()
{
    constexpr std::uint32_t itemsPerPart = 3000;
    for (const std::uint32_t items : {3000U, 100'000U, 200'000U, largestJob}) {
        bench_fleet fleet(1, 1);
        fleet.store.keepsObjects = false;
        fleet.runs->remembers = false;
        fleet.store.makeObject = [items](const std::string &name) -> std::optional<std::string> {
            const auto part = static_cast<std::uint32_t>(std::stoul(name.substr(name.rfind('/') + 1)));
            std::string text;
            for (std::uint32_t number = part * itemsPerPart; number < std::min(items, (part + 1) * itemsPerPart); ++number) {
                text += itemLine(number);
            }
            return text;
        };
        file_record file{.id = file_id("file-bench"), .caller = caller, .purpose = "batch"};
        for (std::uint32_t first = 0; first < items; first += itemsPerPart) {
            file.parts.push_back({.bytes = 1, .items = std::min(itemsPerPart, items - first)});
        }
        transaction change;
        change.writes.push_back({.key = fileKey(caller, file.id), .value = file.toJson()});
        const store_port port = fleet.store.port(std::make_shared<tests::virtual_store::faults>());
        (void)fleet.store.world.get(port.commit(std::move(change)));
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        std::size_t most = before;
        fleet.store.called = [&most] {
            most = std::max(most, mallinfo2().uordblks + mallinfo2().hblkhd);
        };
        const job_record ended = fleet.runToEnd(fleet.create(file.id));
        std::printf("memory     items=%u completed=%u most_kb=%zu\n", items, ended.completed, (most - before) / 1024);
    }
}

/// Memory in use while a file of the largest job is taken in, and while it is read.
void measureUploadMemory()
{
    bench_fleet fleet(1, 1);
    fleet.store.keepsObjects = false;
    fleet.store.makeObject = [](const std::string &) -> std::optional<std::string> {
        return std::string(std::size_t(1) << 20, 'x');
    };
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    std::size_t most = before;
    fleet.store.called = [&most] {
        most = std::max(most, mallinfo2().uordblks + mallinfo2().hblkhd);
    };
    const file_id file = fleet.upload(largestJob);
    std::printf("upload     items=%u bytes=%lu most_kb=%zu\n",
                largestJob,
                static_cast<unsigned long>(fleet.store.counts.objectBytes),
                (most - before) / 1024);
    most = before;
    std::uint64_t bytes = 0;
    fleet.store.world.get(fleet.nodes[0]->files.read(caller, file, [&](std::string piece) -> task<> {
        fleet.store.called();
        bytes += piece.size();
        co_return;
    }));
    std::printf("read       bytes=%lu most_kb=%zu\n", static_cast<unsigned long>(bytes), (most - before) / 1024);
}

struct takeover_run
{
    double seconds = 0;
    std::uint64_t twice = 0;
};

takeover_run takeOver(std::uint64_t seed)
{
    constexpr std::uint32_t items = 20'000;
    bench_fleet fleet(4, seed);
    const job_id job = fleet.create(fleet.upload(items));
    std::mt19937_64 random(seed);
    fleet.store.world.runUntil([&] {
        return fleet.record(job).done.size() > 0;
    });
    fleet.store.world.runFor(std::chrono::milliseconds(random() % 5000));
    const job_record before = fleet.record(job);
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        if (before.owner.find("node-" + std::to_string(index)) != std::string::npos) {
            fleet.nodes[index]->state->down = true;
            fleet.nodes[index]->jobs.stop();
            fleet.live->erase(fleet.live->begin() + static_cast<std::ptrdiff_t>(index));
            break;
        }
    }
    const time_point killed = fleet.store.world.now();
    fleet.store.world.runUntil([&] {
        return fleet.record(job).fencingNumber > before.fencingNumber;
    });
    const std::chrono::duration<double> taken = fleet.store.world.now() - killed;
    fleet.runToEnd(job);
    return {.seconds = taken.count(), .twice = fleet.runs->endedTwice};
}

void measureTakeover(std::uint64_t seed, std::uint64_t runs)
{
    std::vector<double> seconds;
    std::vector<std::uint64_t> twice;
    for (std::uint64_t run = 0; run < runs; ++run) {
        const takeover_run result = takeOver(seed + run);
        seconds.push_back(result.seconds);
        twice.push_back(result.twice);
    }
    std::sort(seconds.begin(), seconds.end());
    std::sort(twice.begin(), twice.end());
    std::printf("takeover   runs=%zu seconds: median=%.1f worst=%.1f items_run_twice: median=%lu worst=%lu\n",
                seconds.size(),
                seconds[seconds.size() / 2],
                seconds.back(),
                static_cast<unsigned long>(twice[twice.size() / 2]),
                static_cast<unsigned long>(twice.back()));
}

std::uint64_t option(const std::vector<std::string> &arguments, const std::string &name, std::uint64_t otherwise)
{
    const auto found = std::find(arguments.begin(), arguments.end(), name);
    return found == arguments.end() || std::next(found) == arguments.end() ? otherwise : std::stoull(*std::next(found));
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    configureLog(log_level::Error);
    const std::string what = arguments.empty() ? "" : arguments.front();
    if (what == "store") {
        measureStore();
    } else if (what == "memory") {
        measureMemory();
        measureUploadMemory();
    } else if (what == "takeover") {
        measureTakeover(option(arguments, "--seed", 1), option(arguments, "--runs", 20));
    } else {
        std::cerr << "usage: bench_jobs store | memory | takeover [--seed N] [--runs N]\n";
        return 2;
    }
    return 0;
}
