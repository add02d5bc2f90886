#include "plot.h"
#include "site_run.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

using namespace banyan;
using namespace banyan::bench;

constexpr std::array policies{placement_policy::Automatic, placement_policy::ExpectedCost, placement_policy::LeastRuns};

struct experiment
{
    std::vector<std::string> sites;
    std::vector<placing_way> ways;
    std::uint64_t seeds = 1;
    double load = 1;
    double crashShare = 0;
    placement_policy placement = placement_policy::Automatic;
    duration reportInterval{};
    std::string plotFile;
};

std::vector<placing_way> waysNamed(const std::string &name)
{
    std::vector<placing_way> result;
    for (const placing_way way : {placing_way::Claims, placing_way::Reports, placing_way::Random, placing_way::Fewest}) {
        if (name == "all" || name == toString(way)) {
            result.push_back(way);
        }
    }
    return result;
}

void print(const site_model &site, placing_way way, std::uint64_t seed, const site_result &result)
{
    std::printf("%-15s %-8s seed %-3llu load %.2f  online %.3f  in bursts %.3f  items in time %.3f  first byte p50 %.0f p99 %.0f ms  items "
                "done %llu after %.1f s  reclaimed %llu  rejected %llu\n",
                site.name.c_str(),
                std::string(toString(way)).c_str(),
                static_cast<unsigned long long>(seed),
                meanLoad(site, 0),
                result.onlineCredit,
                result.burstCredit,
                result.itemsOwed > 0 ? static_cast<double>(result.itemsInTime) / static_cast<double>(result.itemsOwed) : 1,
                result.firstByteMedian * 1000,
                result.firstByteTail * 1000,
                static_cast<unsigned long long>(result.itemsDone),
                result.itemSeconds,
                static_cast<unsigned long long>(result.reclaimed),
                static_cast<unsigned long long>(result.rejected));
    for (const class_result &kind : result.classes) {
        const auto share = [&](std::uint64_t count) {
            return kind.owed > 0 ? static_cast<double>(count) / static_cast<double>(kind.owed) : 0;
        };
        std::printf("    %-15s credit %.3f  on time %.3f  after a refusal %.3f  late %.3f  refused %.3f\n",
                    kind.name.c_str(),
                    kind.credit,
                    share(kind.onTime),
                    share(kind.onTimeAfterRefusal),
                    share(kind.late),
                    share(kind.refused));
    }
}

void runExperiment(const experiment &wanted)
{
    std::vector<named_result> plotted;
    for (const std::string &name : wanted.sites) {
        const site_model site = siteNamed(name);
        for (const placing_way way : wanted.ways) {
            for (std::uint64_t seed = 1; seed <= wanted.seeds; ++seed) {
                const site_result result = runSite(site,
                                                   {.way = way,
                                                    .placement = wanted.placement,
                                                    .reportInterval = wanted.reportInterval,
                                                    .load = wanted.load,
                                                    .crashShare = wanted.crashShare,
                                                    .seed = seed});
                print(site, way, seed, result);
                if (seed == 1) {
                    plotted.push_back({.name = name + " " + std::string(toString(way)), .result = result});
                }
            }
        }
    }
    if (!wanted.plotFile.empty()) {
        std::ofstream file(wanted.plotFile);
        plot(plotted, file);
    }
}

} // namespace

/// Runs the request scheduler on models of the users' sites, in discrete events; the same seed gives the same figures.
int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Runs the request scheduler on models of sites; the same seed gives the same figures.", ' ', "1");
        std::vector<std::string> siteChoices = siteNames();
        siteChoices.emplace_back("all");
        std::vector<std::string> wayChoices{"all", "claims", "reports", "random", "fewest"};
        TCLAP::ValuesConstraint<std::string> siteConstraint(siteChoices);
        TCLAP::ValuesConstraint<std::string> wayConstraint(wayChoices);
        TCLAP::ValueArg<std::string> site("s", "site", "fleet and load", false, "all", &siteConstraint, command);
        TCLAP::ValueArg<std::string> way("w", "way", "who decides where a run goes", false, "claims", &wayConstraint, command);
        TCLAP::ValueArg<std::uint64_t> seeds("n", "seeds", "runs of each, with seeds from 1 on", false, 1, "number", command);
        TCLAP::ValueArg<double> crash("c", "crash", "share of the upstreams that crash half-way", false, 0, "share", command);
        std::vector<std::string> placementChoices;
        placementChoices.reserve(policies.size());
        for (const placement_policy policy : policies) {
            placementChoices.emplace_back(toString(policy));
        }
        TCLAP::ValuesConstraint<std::string> placementConstraint(placementChoices);
        TCLAP::ValueArg<std::string> placement(
            "", "placement", "by what an upstream is chosen", false, "automatic", &placementConstraint, command);
        TCLAP::ValueArg<double> load("", "load", "times the rates of the site", false, 1, "factor", command);
        TCLAP::ValueArg<unsigned> reports("", "reports", "time between two load reports of a node", false, 30, "milliseconds", command);
        TCLAP::ValueArg<std::string> plotFile("p", "plot", "file for a drawing of the first seeds' course", false, "", "SVG", command);
        command.parse(argc, argv);
        runExperiment({.sites = site.getValue() == "all" ? siteNames() : std::vector<std::string>{site.getValue()},
                       .ways = waysNamed(way.getValue()),
                       .seeds = seeds.getValue(),
                       .load = load.getValue(),
                       .crashShare = crash.getValue(),
                       .placement = *std::find_if(policies.begin(),
                                                  policies.end(),
                                                  [&](placement_policy policy) {
                                                      return placement.getValue() == toString(policy);
                                                  }),
                       .reportInterval = std::chrono::milliseconds(reports.getValue()),
                       .plotFile = plotFile.getValue()});
        return 0;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "error=\"" << error.error() << "\" argument=\"" << error.argId() << "\"\n";
        return 1;
    }
}
