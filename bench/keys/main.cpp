// Measures the check of a request's key: digest, look-up and verdict.
//   bench_keys [ORGANISATIONS]     nanoseconds a check: the median of 51 rounds, and the fastest and slowest of them

#include "banyan/core/serving/key_check.h"
#include "banyan/core/serving/key_digester.h"
#include "banyan/core/serving/key_directory.h"
#include "banyan/core/serving/key_lease.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace banyan;

namespace {

constexpr int rounds = 51;
constexpr int checksPerRound = 20000;
constexpr std::size_t keysOfOrganisation = 2;
constexpr std::size_t defaultOrganisations = 79;

std::vector<std::string> makeKeys(std::size_t organisations)
{
    std::vector<std::string> keys;
    for (std::size_t number = 0; number < organisations * keysOfOrganisation; ++number) {
        keys.push_back("key-of-usual-length-" + std::to_string(1000 + number));
    }
    return keys;
}

} // namespace

int main(int argc, char **argv)
{
    const std::size_t count = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : defaultOrganisations;
    const key_digester digester({1, 2, 3});
    const std::vector<std::string> keys = makeKeys(count);
    std::vector<organisation> organisations(count);
    for (std::size_t index = 0; index < keys.size(); ++index) {
        organisations[index / keysOfOrganisation].keys.push_back(digester.digest(keys[index]));
    }
    const key_directory directory(organisations, true);
    const time_point now(std::chrono::hours(1));
    key_lease lease(std::chrono::seconds(5));
    lease.recordReading(now);
    std::vector<double> nanoseconds;
    int taken = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        for (int number = 0; number < checksPerRound; ++number) {
            const std::string &key = keys[static_cast<std::size_t>(number) % keys.size()];
            const presented_key presented{.digest = digester.digest(key), .arrivedAt = now};
            taken += checkKey(directory, lease, presented, false, now).verdict == key_verdict::Taken ? 1 : 0;
        }
        const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - begin;
        nanoseconds.push_back(time.count() / checksPerRound);
    }
    std::sort(nanoseconds.begin(), nanoseconds.end());
    std::printf("organisations=%zu checks=%d taken=%d median_ns=%.0f fastest_ns=%.0f slowest_ns=%.0f\n",
                count,
                rounds * checksPerRound,
                taken,
                nanoseconds[nanoseconds.size() / 2],
                nanoseconds.front(),
                nanoseconds.back());
    return 0;
}
