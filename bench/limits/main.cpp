// Measures what the check of an organisation's limit costs: bench_limits [--organisations N]

#include "banyan/core/serving/organisation_limits.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace banyan;

constexpr int rounds = 21;
constexpr int checksPerRound = 20000;
constexpr int gateways = 74;
constexpr duration between = std::chrono::microseconds(5); // Two hundred thousand requests a second, over all organisations.

/// Gathers the shares of all gateways at one that keeps all pools.
void gatherShares(organisation_limits &keeper, time_point &now, std::uint64_t &sequence)
{
    const limit_pool_report own = keeper.report(++sequence, now);
    limit_pool_report leases{.leaseTime = own.leaseTime, .leases = {}, .shares = {}};
    for (std::uint8_t pool = 0; pool < limit_pools::poolCount; ++pool) {
        leases.leases.push_back({.pool = pool, .heard = static_cast<std::uint16_t>(sequence), .holder = keyOf(node_id("n0"))});
    }
    for (int other = 1; other < gateways; ++other) {
        keeper.recordReport(node_id("n" + std::to_string(other)), sequence, false, leases, now);
    }
}

double nanosecondsEach(organisation_limits &limits, const std::vector<caller_id> &names, time_point &now, std::size_t &admitted)
{
    const auto begun = std::chrono::steady_clock::now();
    for (int check = 0; check < checksPerRound; ++check) {
        now += between;
        const limit_decision decision = limits.admit(names[static_cast<std::size_t>(check) % names.size()], now);
        admitted += decision.verdict == limit_verdict::Admitted ? 1 : 0;
    }
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begun).count() / checksPerRound;
}

void measure(const std::string &what, double perSecond, int organisations)
{
    std::vector<organisation> entries;
    std::vector<caller_id> names;
    for (int number = 0; number < organisations; ++number) {
        names.emplace_back("organisation-" + std::to_string(number));
        entries.push_back({.name = names.back(), .keys = {}, .priority = {}, .requestsPerSecond = perSecond, .burst = perSecond});
    }
    time_point now(std::chrono::seconds(1000));
    std::uint64_t sequence = 0;
    organisation_limits limits({.self = node_id("n0"), .startedAt = now, .tolerance = {}});
    limits.configure(1, entries, now);
    limits.setNodes(gateways, std::chrono::milliseconds(600), true);
    std::vector<double> taken;
    std::size_t admitted = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int report = 0; report < 10; ++report, now += std::chrono::milliseconds(100)) {
            gatherShares(limits, now, sequence);
        }
        taken.push_back(nanosecondsEach(limits, names, now, admitted));
    }
    std::sort(taken.begin(), taken.end());
    std::cout << what << ": median " << taken[rounds / 2] << " ns a check, from " << taken.front() << " to " << taken.back() << " in "
              << rounds << " rounds of " << checksPerRound << "; admitted "
              << 100.0 * static_cast<double>(admitted) / (rounds * checksPerRound) << " %\n";
}

} // namespace

int main(int argc, char **argv)
{
    const int organisations = argc > 2 && std::string(argv[1]) == "--organisations" ? std::max(1, std::atoi(argv[2])) : 79;
    measure("within the limit", 100000, organisations);
    measure("over the limit", 1, organisations);
    return 0;
}
