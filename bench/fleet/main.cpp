// Measures what membership and configuration cost a node, and how fast they are, from 10 to 1,500 nodes in one process
// with time as a number.
//
//   bench_fleet                               slopes up to 1,500 nodes, then faults with 300; about two minutes
//   bench_fleet --nodes 10 --faults 1500      faults at the full size; more than ten minutes

#include "fleet_model.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <string>
#include <vector>

using namespace banyan;

namespace {

// The letter's target for control: a node a second, of a core, of memory, and for a change to be in force everywhere.
constexpr double targetBytes = 3000;
constexpr double targetProcessorShare = 0.022;
constexpr double targetMemory = 32e6;
constexpr double targetDelay = 10; // seconds

constexpr duration warmUp = std::chrono::seconds(30); // nodes read the view once at their start
constexpr duration measuredSpan = std::chrono::seconds(30);
constexpr duration cutSpan = std::chrono::minutes(3);
constexpr duration healingStep = std::chrono::seconds(5);
constexpr int healingSteps = 60;

const char *verdict(double value, double target)
{
    return value <= target ? "met" : "NOT MET";
}

void printCost(std::size_t nodes, fleet_model &fleet)
{
    const fleet_cost cost = fleet.run(measuredSpan);
    time_samples onNode = fleet.takeNodeDelays();
    time_samples onAll = fleet.takeFleetDelays();
    const double memory = fleet.bytesPerNode();
    const double worst = onAll.at(1);
    std::printf("%6zu %9.0f %9.0f %9.2f %8.3f %9.2f %8.3f %8.3f %8.3f %8.3f %6zu\n",
                nodes,
                cost.sentBytes,
                cost.busiestSentBytes,
                cost.messages,
                100 * cost.processorShare,
                memory / 1e6,
                onNode.at(0.5),
                onNode.at(0.99),
                onAll.at(0.5),
                worst,
                onAll.count());
    std::printf("       sent %s, sent and received %s, core %s, memory %s, in force %s\n",
                verdict(cost.busiestSentBytes, targetBytes),
                verdict(2 * cost.sentBytes, targetBytes),
                verdict(cost.processorShare, targetProcessorShare),
                verdict(memory, targetMemory),
                verdict(worst, targetDelay));
    std::fflush(stdout);
}

void measureSlopes(const std::vector<std::size_t> &sizes)
{
    std::printf("Slopes: %lld s of model time, 45,000 changes a day, 240 callers, latencies from 0.5 to 100 ms one way.\n",
                static_cast<long long>(std::chrono::duration_cast<std::chrono::seconds>(measuredSpan).count()));
    std::printf(" nodes  sent B/s busiest/s    msg/s   core %%  memory MB    node p50      p99  all p50    worst changes\n");
    for (const std::size_t nodes : sizes) {
        fleet_model fleet(nodes);
        fleet.run(warmUp);
        fleet.takeNodeDelays();
        fleet.takeFleetDelays();
        printCost(nodes, fleet);
    }
}

void measureDetection(std::size_t nodes)
{
    fleet_model fleet(nodes);
    fleet.run(warmUp);
    time_samples delays = fleet.detect(5);
    std::printf("Detection of 5 failed VMs by %zu nodes: p50 %.1f s, p99 %.1f s, worst %.1f s (%zu of %zu observations)\n",
                nodes,
                delays.at(0.5),
                delays.at(0.99),
                delays.at(1),
                delays.count(),
                5 * nodes - 15);
    std::fflush(stdout);
}

void measureJoin(std::size_t nodes)
{
    fleet_model fleet(nodes);
    fleet.run(warmUp);
    time_samples seen;
    const double seesAll = std::chrono::duration<double>(fleet.join(seen)).count();
    std::printf(
        "A VM that starts beside %zu nodes sees all after %.1f s; it is seen after p50 %.1f s, p99 %.1f s, worst %.1f s (%zu of %zu)\n",
        nodes,
        seesAll,
        seen.at(0.5),
        seen.at(0.99),
        seen.at(1),
        seen.count(),
        nodes);
    std::fflush(stdout);
}

void measureFalseAlarms(std::size_t nodes, double loss, bool pauses)
{
    fleet_model fleet(nodes);
    fleet.run(warmUp);
    fleet.takeNodeDelays();
    fleet.takeFleetDelays();
    fleet.fabric().setLoss(loss);
    const std::uint64_t suspicionsBefore = fleet.suspicions();
    const std::uint64_t deathsBefore = fleet.deaths();
    std::size_t worstDropped = 0;
    for (int part = 0; part < 12; ++part) {
        if (pauses) {
            fleet.pauseSome(nodes / 100, std::chrono::seconds(2));
        }
        fleet.run(std::chrono::seconds(5));
        worstDropped = std::max(worstDropped, fleet.wronglyDropped());
    }
    time_samples onAll = fleet.takeFleetDelays();
    std::printf("False alarms, %zu nodes, 60 s, %.0f %% of packets lost%s: %llu suspicions, %llu deaths declared, at most %.4f %% of "
                "pairs wrong, change in force everywhere at worst after %.1f s\n",
                nodes,
                100 * loss,
                pauses ? ", 1 % of the nodes paused for 2 s each 5 s" : "",
                static_cast<unsigned long long>(fleet.suspicions() - suspicionsBefore),
                static_cast<unsigned long long>(fleet.deaths() - deathsBefore),
                100.0 * static_cast<double>(worstDropped) / (static_cast<double>(nodes) * static_cast<double>(nodes)),
                onAll.at(1));
    std::fflush(stdout);
}

void measureCut(std::size_t nodes)
{
    fleet_model fleet(nodes);
    fleet.run(warmUp);
    const std::size_t region = nodes / 12; // of the letter's 12 regions
    fleet.fabric().cutLinks([region](std::size_t from, std::size_t to) {
        return (from < region) != (to < region);
    });
    const fleet_cost during = fleet.run(cutSpan);
    fleet.takeNodeDelays();
    fleet.takeFleetDelays();
    fleet.fabric().heal();
    double busiest = 0;
    double whole = 0;
    double versions = 0;
    for (int step = 1; step <= healingSteps && whole == 0; ++step) {
        busiest = std::max(busiest, fleet.run(healingStep).busiestSentBytes);
        const double elapsed = std::chrono::duration<double>(healingStep * step).count();
        if (versions == 0 && fleet.laggards() == 0) {
            versions = elapsed;
        }
        if (fleet.wronglyDropped() == 0) {
            whole = elapsed;
        }
    }
    std::printf(
        "A region of %zu of %zu nodes cut off for 3 min: %.0f B/s sent a node meanwhile; after healing versions agree within %.0f s, "
        "views within %.0f s, busiest node %.0f B/s sent (%s)\n",
        region,
        nodes,
        during.sentBytes,
        versions,
        whole,
        busiest,
        verdict(busiest, targetBytes));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures membership and configuration from 10 nodes up.");
    TCLAP::ValueArg<std::size_t> most("n", "nodes", "Largest fleet", false, 1500, "count", line);
    TCLAP::ValueArg<std::size_t> faulty("f", "faults", "Fleet for the measurements with faults", false, 300, "count", line);
    line.parse(argc, argv);
    std::vector<std::size_t> sizes;
    for (const std::size_t size : {std::size_t(10), std::size_t(100), std::size_t(500)}) {
        if (size < most.getValue()) {
            sizes.push_back(size);
        }
    }
    sizes.push_back(most.getValue());
    measureSlopes(sizes);
    measureJoin(faulty.getValue());
    measureDetection(faulty.getValue());
    measureFalseAlarms(faulty.getValue(), 0.01, true);
    measureFalseAlarms(faulty.getValue(), 0.05, false);
    measureCut(faulty.getValue());
    return 0;
}
