#include "measures.h"

#include "scenario.h"

#include <iomanip>
#include <optional>
#include <ostream>

namespace banyan::bench {

namespace {

constexpr double p50 = 0.50;
constexpr double p99 = 0.99;
constexpr double harmTarget = 1.05;
constexpr double stragglerTarget = 1.10;
constexpr double slowTarget = 1.25;
constexpr double minimalRate = 0.001; ///< Requests a second; practically none.
constexpr std::size_t nodesOfOneRegion = 125;
constexpr std::size_t upstreamsOfOneNode = 8;
constexpr std::size_t topologyWindowPerUpstream = 25; ///< Below the queue limit of a cell of 16.
constexpr std::size_t batchWindowPerUpstream = 40;

/// Prints "name policy value target met".
class report
{
public:
    explicit report(std::ostream &out)
        : m_out(out)
    {
    }

    void figure(const std::string &name, policy_kind policy, double value, std::optional<double> target = std::nullopt)
    {
        m_out << std::left << std::setw(64) << name << std::setw(17) << toString(policy) << std::right << std::fixed << std::setprecision(3)
              << std::setw(10) << value;
        if (target) {
            m_out << "  target " << std::setprecision(2) << *target << "  " << (value <= *target ? "met" : "not met");
        }
        m_out << '\n' << std::flush;
    }

private:
    std::ostream &m_out;
};

scenario baseScenario(policy_kind policy, std::uint64_t seed)
{
    scenario value{.policy = policy};
    value.fleet.seed = seed;
    value.work.seed = seed;
    return value;
}

scenario withBatch(scenario value)
{
    value.work.batchWindow = batchWindowPerUpstream * value.fleet.upstreams;
    return value;
}

/// Sequences at which a step takes 5% longer than on an idle engine.
double unharmedSequences(const engine_options &engine)
{
    double sequences = 1;
    const double idle = 1 / engine_model::throughputAt(engine, 1);
    while ((sequences + 1) / engine_model::throughputAt(engine, sequences + 1) < harmTarget * idle) {
        sequences += 0.1;
    }
    return sequences;
}

void measureHarm(policy_kind policy, std::uint64_t seed, report &out)
{
    const scenario alone = baseScenario(policy, seed);
    const scenario_result without = run(alone);
    const scenario_result with = run(withBatch(alone));
    const double upstreams = static_cast<double>(alone.fleet.upstreams);
    const double saturated = upstreams * engine_model::throughputAt(alone.fleet.engine, alone.fleet.engine.maximumRunning);
    const double unharmed = upstreams * engine_model::throughputAt(alone.fleet.engine, unharmedSequences(alone.fleet.engine));
    out.figure("harm: online p50 without batch [s]", policy, quantile(without.onlineShort, p50));
    out.figure("harm: online p99 without batch [s]", policy, quantile(without.onlineShort, p99));
    out.figure("harm: online p99 with batch [s]", policy, quantile(with.onlineShort, p99));
    out.figure("harm: online p99 with batch over without",
               policy,
               quantile(with.onlineShort, p99) / quantile(without.onlineShort, p99),
               harmTarget);
    out.figure("harm: batch tokens a second", policy, with.batchTokens);
    out.figure("harm: batch share of idle capacity, saturated engines", policy, with.batchTokens / (saturated - with.onlineTokens));
    out.figure("harm: batch share of idle capacity, steps at most 5% longer", policy, with.batchTokens / (unharmed - with.onlineTokens));
    scenario night = withBatch(alone);
    night.work.onlineRate = night.work.burstRate = minimalRate;
    out.figure("harm: batch share of saturated engines without online work", policy, run(night).batchTokens / saturated);
    out.figure("harm: requests not completed, online", policy, static_cast<double>(with.onlineFailed));
    out.figure("harm: requests not completed, batch", policy, static_cast<double>(with.batchFailed));
    out.figure("harm: attempts cancelled", policy, static_cast<double>(with.counts.cancelled));
}

struct straggler_case
{
    std::string name;
    bool announced = true; ///< By the tokens that they expect.
    bool online = true; ///< Online and batch work, or batch work only.
};

void measureStragglers(policy_kind policy, std::uint64_t seed, report &out)
{
    for (const straggler_case &chosen : {straggler_case{.name = "announced"},
                                         straggler_case{.name = "unannounced", .announced = false},
                                         straggler_case{.name = "batch only", .online = false}}) {
        scenario value = baseScenario(policy, seed);
        value.work.onlineRate = 60;
        value.work.burstRate = 160;
        value.work.batchRate = 15;
        if (!chosen.online) {
            value.work.onlineRate = value.work.burstRate = minimalRate;
            value.work.batchRate = 40;
        }
        const scenario_result without = run(value);
        value.work.longShare = 0.04;
        value.work.longAnnounced = chosen.announced;
        const scenario_result with = run(value);
        const std::string name = "stragglers, " + chosen.name + ": ";
        if (chosen.online) {
            out.figure(name + "online short p99 without [s]", policy, quantile(without.onlineShort, p99));
            out.figure(name + "online short p99 with over without",
                       policy,
                       quantile(with.onlineShort, p99) / quantile(without.onlineShort, p99),
                       stragglerTarget);
        }
        out.figure(name + "batch short p99 with over without",
                   policy,
                   quantile(with.batchShort, p99) / quantile(without.batchShort, p99),
                   stragglerTarget);
        out.figure(name + "batch short p99 without [s]", policy, quantile(without.batchShort, p99));
    }
}

struct slow_case
{
    std::string name;
    duration moveEvery{};
    bool streamed = true;
};

void measureSlow(policy_kind policy, std::uint64_t seed, report &out)
{
    for (const slow_case &chosen :
         {slow_case{.name = "the same from 5 s on"},
          slow_case{.name = "others every 15 s", .moveEvery = std::chrono::seconds(15)},
          slow_case{.name = "others every 15 s, whole answers", .moveEvery = std::chrono::seconds(15), .streamed = false}}) {
        scenario value = withBatch(baseScenario(policy, seed));
        value.work.burstRate = 160;
        value.work.onlineStreamed = chosen.streamed;
        const scenario_result without = run(value);
        value.slow = slowdown{.share = 0.2,
                              .from = time_point() + std::chrono::seconds(5),
                              .until = time_point() + value.length,
                              .moveEvery = chosen.moveEvery};
        const scenario_result with = run(value);
        const std::string name = "slow, " + chosen.name + ": ";
        out.figure(
            name + "online p99 over none slowed", policy, quantile(with.onlineShort, p99) / quantile(without.onlineShort, p99), slowTarget);
        out.figure(name + "online p99 [s]", policy, quantile(with.onlineShort, p99));
        out.figure(name + "batch tokens over none slowed", policy, with.batchTokens / without.batchTokens);
        out.figure(
            name + "hedges over attempts", policy, static_cast<double>(with.counts.hedges) / static_cast<double>(with.counts.attempts));
    }
}

void measureLoss(policy_kind policy, std::uint64_t seed, report &out)
{
    scenario value = withBatch(baseScenario(policy, seed));
    value.work.burstRate = 120;
    const scenario_result without = run(value);
    value.loss =
        domain_loss{.domain = 0, .from = time_point() + std::chrono::seconds(30), .until = time_point() + std::chrono::seconds(45)};
    const scenario_result with = run(value);
    const auto &counts = with.counts;
    const double resent = static_cast<double>(counts.rerouted + counts.refusedConnections);
    out.figure("loss: attempts lost", policy, static_cast<double>(counts.lost));
    out.figure("loss: connections tried in vain for each request lost",
               policy,
               static_cast<double>(counts.refusedConnections) / static_cast<double>(counts.lost));
    out.figure("loss: retries and reroutes for each request lost", policy, resent / static_cast<double>(counts.lost));
    out.figure("loss: online requests not completed", policy, static_cast<double>(with.onlineFailed));
    out.figure("loss: batch items not completed", policy, static_cast<double>(with.batchFailed));
    out.figure("loss: online p99 over no loss", policy, quantile(with.onlineShort, p99) / quantile(without.onlineShort, p99));
}

struct topology_case
{
    std::string name;
    fleet_topology topology = fleet_topology::Cells;
    std::size_t cellSize = 16;
};

void measureTopology(const measure_options &options, report &out)
{
    // A node sends only within its region and regions do not affect each other, so one of them stands for a large fleet.
    const std::size_t regions = options.nodes > nodesOfOneRegion ? (options.nodes + nodesOfOneRegion - 1) / nodesOfOneRegion : 1;
    const bool large = regions > 1;
    for (const topology_case &chosen : {topology_case{.name = "a cell of 16"},
                                        topology_case{.name = "one upstream", .cellSize = 1},
                                        topology_case{.name = "shares of slots", .topology = fleet_topology::Shares}}) {
        scenario value = baseScenario(policy_kind::Banyan, options.seed);
        value.fleet.nodes = options.nodes / regions;
        value.fleet.upstreams = large ? value.fleet.nodes * upstreamsOfOneNode : value.fleet.upstreams;
        value.fleet.topology = chosen.topology;
        value.fleet.cellSize = chosen.cellSize;
        value.work.nodes = value.fleet.nodes;
        const double scale = static_cast<double>(value.fleet.upstreams) / 20;
        value.work.onlineRate *= scale;
        value.work.burstRate *= scale;
        if (chosen.topology == fleet_topology::Shares) {
            value.dispatch.initialSlots = 2;
            value.dispatch.maximumSlots = 2;
        }
        if (large) {
            value.warmUp = std::chrono::seconds(10);
            value.length = std::chrono::seconds(30);
        }
        const scenario_result without = run(value);
        value.work.batchWindow = topologyWindowPerUpstream * value.fleet.upstreams;
        const scenario_result with = run(value);
        const std::string name = "topology, " + std::to_string(options.nodes) + " nodes, dispatcher for " + chosen.name + ": ";
        out.figure(name + "p99 [s]", policy_kind::Banyan, quantile(with.onlineShort, p99));
        out.figure(
            name + "p99 ratio", policy_kind::Banyan, quantile(with.onlineShort, p99) / quantile(without.onlineShort, p99), harmTarget);
        out.figure(name + "batch tokens/s/upstream", policy_kind::Banyan, with.batchTokens / static_cast<double>(value.fleet.upstreams));
    }
}

bool wanted(const std::string &chosen, std::string_view name)
{
    return chosen == "all" || chosen == name;
}

} // namespace

void runMeasures(const measure_options &options, std::ostream &out)
{
    report lines(out);
    for (const policy_kind policy : {policy_kind::Banyan, policy_kind::RoundRobin, policy_kind::LeastInFlight}) {
        if (!wanted(options.policy, toString(policy))) {
            continue;
        }
        if (wanted(options.measure, "harm")) {
            measureHarm(policy, options.seed, lines);
        }
        if (wanted(options.measure, "stragglers")) {
            measureStragglers(policy, options.seed, lines);
        }
        if (wanted(options.measure, "slow")) {
            measureSlow(policy, options.seed, lines);
        }
        if (wanted(options.measure, "loss")) {
            measureLoss(policy, options.seed, lines);
        }
    }
    if (options.measure == "topology" || (options.measure == "all" && wanted(options.policy, "banyan"))) {
        measureTopology(options, lines);
    }
}

} // namespace banyan::bench
