#include "simulated_store.h"

#include "banyan/core/record_row.h"
#include "banyan/io/log.h"
#include "banyan/io/record_service.h"
#include "banyan/io/store_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

// Store calls for each order, acceptance latency and takeover time, by the real record_service on a simulated store.
// Time is simulated, so that the figures do not depend on the machine: each store call takes callTime.

namespace banyan::bench {

namespace {

constexpr int nodes = 13;
constexpr int dispatchers = 3; ///< Nodes that own a cell of the order service.
constexpr duration callTime = std::chrono::milliseconds(3);
constexpr duration hopTime = std::chrono::milliseconds(1);
constexpr duration upstreamTime = std::chrono::milliseconds(50);
constexpr duration loadTime = std::chrono::seconds(30);
constexpr duration drainTime = std::chrono::seconds(10);
constexpr duration restTime = std::chrono::minutes(5);
constexpr duration takeoverLimit = std::chrono::seconds(120);
constexpr std::uint32_t seed = 1;

double milliseconds(duration value)
{
    return static_cast<double>(value.count()) / 1000;
}

double percentile(std::vector<duration> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return milliseconds(values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]);
}

/// A fleet's record services with dispatchers and an upstream that takes a fixed time.
class simulated_fleet
{
public:
    simulated_fleet()
        : store(m_context, callTime)
    {
        std::vector<node_id> names;
        names.reserve(nodes);
        for (int node = 0; node < nodes; ++node) {
            names.emplace_back("n" + std::to_string(node));
        }
        for (int node = 0; node < nodes; ++node) {
            const request_runner runner = [this, node](run_request request, const std::shared_ptr<run_cancellation> &) {
                return run(this, node, std::move(request));
            };
            m_services.push_back(std::make_unique<record_service>(
                m_context, store.portOf(node), runner, record_service_options{.node = names[static_cast<std::size_t>(node)]}));
            m_services.back()->start();
            m_services.back()->setLiveNodes(names);
        }
    }

    void order(int node)
    {
        asio::co_spawn(m_context, place(this, node, "k" + std::to_string(++m_placed)), asio::detached);
    }

    /// Orders at random nodes, at random times.
    void load(double perSecond, duration span)
    {
        std::minstd_rand random(seed);
        std::exponential_distribution<double> gap(perSecond);
        const time_point end = store.now() + span;
        double seconds = gap(random);
        for (time_point when = store.now(); when < end; seconds = gap(random)) {
            when += std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
            const int node = static_cast<int>(random() % nodes);
            store.callAt(when, [this, node] {
                order(node);
            });
        }
    }

    [[nodiscard]] std::size_t unfinished() const
    {
        const std::vector<row> records = store.table().scan(std::string(recordPrefix), "", static_cast<std::size_t>(-1));
        return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [](const row &found) {
            return !isFinal(parseRecordRow(found.value).state);
        }));
    }

    [[nodiscard]] const std::vector<duration> &acceptTimes() const
    {
        return m_acceptTimes;
    }

    [[nodiscard]] int refused() const
    {
        return m_refused;
    }

private:
    asio::io_context m_context; // Ends last.

public:
    simulated_store store;
    bool hang = false; ///< Requests do not come back from dispatchers.

private:
    static task<> place(simulated_fleet *self, int node, std::string key)
    {
        const time_point begun = self->store.now();
        record_request request{.caller = caller_id("niebla"), .idempotencyKey = std::move(key), .contentHash = "h"};
        request.request.dispatch = {.id = request_id("r"), .repeatable = false, .deadline = begun + std::chrono::seconds(60)};
        request.request.message.body = "one drum";
        try {
            co_await self->m_services[static_cast<std::size_t>(node)]->accept(std::move(request), begun + std::chrono::seconds(10));
            self->m_acceptTimes.push_back(self->store.now() - begun);
        } catch (const std::exception &) {
            ++self->m_refused;
        }
    }

    static task<run_answer> run(simulated_fleet *self, int node, run_request request)
    {
        const int dispatcher = static_cast<int>(std::hash<std::string>()(request.recordKey) % dispatchers);
        const store_port port = self->store.portOf(dispatcher);
        record_service &service = *self->m_services[static_cast<std::size_t>(dispatcher)];
        run_answer answer{.result = {.what = disposition::Completed}, .response = {.body = "done"}};
        co_await sleepUntil(port, self->store.now() + (self->hang ? takeoverLimit * 2 : hopTime));
        const bool first = co_await service.recordStart(request.recordKey, request.fencingNumber, "n" + std::to_string(dispatcher) + "/1");
        if (!first) {
            answer.result = {.what = disposition::OutcomeUnknown};
            co_return answer;
        }
        co_await sleepUntil(port, self->store.now() + upstreamTime);
        if (dispatcher != node) {
            co_await service.recordResult(request.recordKey, request.fencingNumber, answer, self->store.now() + std::chrono::seconds(1));
        }
        co_return answer;
    }

    std::vector<std::unique_ptr<record_service>> m_services;
    std::vector<duration> m_acceptTimes;
    int m_placed = 0;
    int m_refused = 0;
};

void measureRest()
{
    simulated_fleet fleet;
    fleet.store.runUntil(fleet.store.now() + restTime);
    const double nodeSeconds = nodes * std::chrono::duration<double>(restTime).count();
    const store_counts &counts = fleet.store.counts();
    std::printf("at rest: node %.4f writes/s %.3f reads/s; fleet of %d %.2f writes/s %.2f reads/s\n",
                static_cast<double>(counts.commits) / nodeSeconds,
                static_cast<double>(counts.reads + counts.scans) / nodeSeconds,
                nodes,
                static_cast<double>(counts.commits) / nodeSeconds * nodes,
                static_cast<double>(counts.reads + counts.scans) / nodeSeconds * nodes);
}

void measureLoad(double perSecond)
{
    simulated_fleet fleet;
    fleet.load(perSecond, loadTime);
    fleet.store.runUntil(fleet.store.now() + loadTime + drainTime);
    const store_counts &counts = fleet.store.counts();
    const auto orders = static_cast<double>(fleet.acceptTimes().size());
    const double seconds = std::chrono::duration<double>(loadTime).count();
    std::printf(
        "load %.0f/s: orders %.0f refused %d unfinished %zu | for each order: transactions %.2f rows %.2f reads %.2f conflicts %.4f | "
        "fleet: %.0f transactions/s %.0f rows/s %.0f reads/s | acceptance p50 %.1f ms p99 %.1f ms\n",
        perSecond,
        orders,
        fleet.refused(),
        fleet.unfinished(),
        static_cast<double>(counts.commits) / orders,
        static_cast<double>(counts.rows) / orders,
        static_cast<double>(counts.reads) / orders,
        static_cast<double>(counts.conflicts) / orders,
        static_cast<double>(counts.commits) / seconds,
        static_cast<double>(counts.rows) / seconds,
        static_cast<double>(counts.reads) / seconds,
        percentile(fleet.acceptTimes(), 0.5),
        percentile(fleet.acceptTimes(), 0.99));
}

void measureTakeover(int killed, int ordersOfEach)
{
    simulated_fleet fleet;
    fleet.hang = true;
    for (int node = dispatchers; node < dispatchers + killed; ++node) {
        for (int number = 0; number < ordersOfEach; ++number) {
            fleet.order(node);
        }
    }
    fleet.store.runUntil(fleet.store.now() + std::chrono::seconds(5));
    fleet.hang = false;
    for (int node = dispatchers; node < dispatchers + killed; ++node) {
        fleet.store.kill(node);
    }
    const time_point killedAt = fleet.store.now();
    const store_counts before = fleet.store.counts();
    while (fleet.unfinished() > 0 && fleet.store.now() - killedAt < takeoverLimit) {
        fleet.store.runUntil(fleet.store.now() + std::chrono::milliseconds(100));
    }
    const store_counts &after = fleet.store.counts();
    std::printf(
        "takeover of %d nodes with %d orders each: all ended after %.1f s, unfinished %zu, transactions %llu conflicts %llu reads %llu\n",
        killed,
        ordersOfEach,
        milliseconds(fleet.store.now() - killedAt) / 1000,
        fleet.unfinished(),
        static_cast<unsigned long long>(after.commits - before.commits),
        static_cast<unsigned long long>(after.conflicts - before.conflicts),
        static_cast<unsigned long long>(after.reads - before.reads));
}

} // namespace

} // namespace banyan::bench

int main()
{
    using namespace banyan::bench;
    banyan::configureLog(banyan::log_level::Error);
    measureRest();
    for (const double perSecond : {1.0, 10.0, 50.0, 100.0, 200.0, 400.0, 800.0}) {
        measureLoad(perSecond);
    }
    measureTakeover(1, 20);
    measureTakeover(1, 500);
    measureTakeover(4, 100);
    return 0;
}
